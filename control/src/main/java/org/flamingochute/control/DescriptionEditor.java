package org.flamingochute.control;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Function;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.SettingChange;

/**
 * Applies a change to the description in force.
 *
 * <p>After a conflict with a concurrent patch, the change is created again from the new version, up
 * to {@value #MAXIMUM_ATTEMPTS} attempts in all. This is correct only for changes that the operator
 * wants whatever the concurrent patch changed.
 */
final class DescriptionEditor {

  private static final int MAXIMUM_ATTEMPTS = 5;

  private DescriptionEditor() {}

  /**
   * Applies a change and returns the audit entry of the accepted patch.
   *
   * @param createChanges returns the changes to the given description, or an error
   */
  static Either<ControlError, AuditEntry> edit(
      CommandContext context,
      String defaultReason,
      Function<FleetDescription, Either<ControlError, List<SettingChange>>> createChanges) {
    Either<ControlError, AuditEntry> result = editOnce(context, defaultReason, createChanges);
    for (int i = 1; i < MAXIMUM_ATTEMPTS && isStaleBase(result); i++) {
      result = editOnce(context, defaultReason, createChanges);
    }
    return result;
  }

  private static boolean isStaleBase(Either<ControlError, AuditEntry> result) {
    return result.isLeft() && result.getLeft() instanceof ControlError.StaleBase;
  }

  private static Either<ControlError, AuditEntry> editOnce(
      CommandContext context,
      String defaultReason,
      Function<FleetDescription, Either<ControlError, List<SettingChange>>> createChanges) {
    Either<ControlError, FleetDescription> current = context.client().description();
    if (current.isLeft()) {
      return Either.left(current.getLeft());
    }
    return createChanges
        .apply(current.get())
        .map(
            changes ->
                FleetPatch.newBuilder()
                    .setPatchId(context.identifierGenerator().get())
                    .setOperatorName(context.operatorName())
                    .setBaseVersion(current.get().getVersion())
                    .addAllChanges(changes)
                    .setReason(context.option("reason").orElse(defaultReason))
                    .build())
        .flatMap(context.client()::patch);
  }
}
