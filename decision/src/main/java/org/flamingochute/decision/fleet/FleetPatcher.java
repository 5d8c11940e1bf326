package org.flamingochute.decision.fleet;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.settings.SettingsReader;
import org.flamingochute.decision.settings.SettingsWriter;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.SettingChange;

/**
 * Applies a patch to a description.
 *
 * <p>The description is written as INI sections, the changes are applied to these, and the result
 * is read and validated like a file, with the same errors. A patch is also refused if it changes
 * nothing or removes from a section that does not exist. The caller must check the base version and
 * the operator's right.
 */
public final class FleetPatcher {

  private final SettingsReader<FleetDescription> reader =
      new SettingsReader<>(FleetDescription.getDefaultInstance());
  private final FleetDescriptionValidator validator = new FleetDescriptionValidator();

  /**
   * Returns the patched description with the next version, or all errors.
   *
   * @param description the description to patch
   * @param patch the changes
   */
  public Either<List<ErrorReport>, FleetDescription> apply(
      FleetDescription description, FleetPatch patch) {
    String source = "patch " + patch.getPatchId();
    EditableDocument document = new EditableDocument(SettingsWriter.document(source, description));
    List<ErrorReport> errors = new ArrayList<>();
    for (SettingChange change : patch.getChangesList()) {
      document.apply(change).ifPresent(errors::add);
    }
    if (!errors.isEmpty()) {
      return Either.left(List.copyOf(errors));
    }
    return reader
        .read(document.document(source))
        .flatMap(validator::validate)
        .flatMap(result -> withNextVersion(description, patch, result));
  }

  private static Either<List<ErrorReport>, FleetDescription> withNextVersion(
      FleetDescription before, FleetPatch patch, FleetDescription result) {
    FleetDescription sameVersion = result.toBuilder().setVersion(before.getVersion()).build();
    if (sameVersion.equals(before)) {
      return Either.left(List.of(ErrorReport.of(ErrorCode.PATCH_EMPTY, patch.getPatchId())));
    }
    return Either.right(result.toBuilder().setVersion(before.getVersion() + 1).build());
  }
}
