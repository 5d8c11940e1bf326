package org.flamingochute.control;

import io.vavr.control.Either;
import java.util.List;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.SettingChange;

/** Revokes a key; each entry rejects the key as soon as the entry has read the patch. */
final class WithdrawCommand implements Command {

  private static final String SECTION_KIND = "key";

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .argument("KEY-ID")
        .flatMap(
            keyId ->
                DescriptionEditor.edit(
                    context, "withdraw key " + keyId, current -> createChanges(current, keyId)))
        .map(entry -> PatchResultFormatter.format(context, entry));
  }

  private static Either<ControlError, List<SettingChange>> createChanges(
      FleetDescription current, String keyId) {
    if (!current.containsKeys(keyId)) {
      return Either.left(
          new ControlError.Refused(
              ErrorReport.of(ErrorCode.CONTROL_KEY_ID_UNKNOWN, keyId).toString()));
    }
    return Either.right(List.of(SectionChanges.removeSection(SECTION_KIND, keyId)));
  }
}
