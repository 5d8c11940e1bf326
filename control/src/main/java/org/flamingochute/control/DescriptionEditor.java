package org.flamingochute.control;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Function;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.SettingChange;

/**
 * Patches one section of whatever description is in force.
 *
 * <p>When another operator's patch comes between, the change is made again for the new version, a
 * few times. This is right only for changes that do not depend on the rest of the description.
 */
final class DescriptionEditor {

  private static final int TRIES = 5;

  private DescriptionEditor() {}

  /**
   * Makes a change.
   *
   * @param change gives the changes for the description in force, or the reason to refuse
   */
  static Either<ControlError, AuditEntry> edit(
      CommandContext context,
      String defaultReason,
      Function<FleetDescription, Either<ControlError, List<SettingChange>>> change) {
    Either<ControlError, AuditEntry> result = editOnce(context, defaultReason, change);
    for (int i = 1; i < TRIES && isStale(result); i++) {
      result = editOnce(context, defaultReason, change);
    }
    return result;
  }

  private static boolean isStale(Either<ControlError, AuditEntry> result) {
    return result.isLeft() && result.getLeft() instanceof ControlError.StaleBase;
  }

  private static Either<ControlError, AuditEntry> editOnce(
      CommandContext context,
      String defaultReason,
      Function<FleetDescription, Either<ControlError, List<SettingChange>>> change) {
    Either<ControlError, FleetDescription> inForce = context.client().description();
    if (inForce.isLeft()) {
      return Either.left(inForce.getLeft());
    }
    return change
        .apply(inForce.get())
        .map(
            changes ->
                FleetPatch.newBuilder()
                    .setPatchId(context.randomIdentifiers().get())
                    .setOperatorName(context.operator())
                    .setBaseVersion(inForce.get().getVersion())
                    .addAllChanges(changes)
                    .setReason(context.option("reason").orElse(defaultReason))
                    .build())
        .flatMap(context.client()::patch);
  }
}
