package org.flamingochute.control;

import io.vavr.control.Either;
import java.util.List;
import org.flamingochute.decision.fleet.FleetDifference;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.SettingChange;

/** Sends the difference between the description in force and a file as one patch. */
final class ApplyCommand implements Command {

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .descriptionFile()
        .flatMap(wanted -> context.number("base").flatMap(base -> apply(context, base, wanted)));
  }

  private static Either<ControlError, String> apply(
      CommandContext context, long base, FleetDescription wanted) {
    return context.client().description().flatMap(inForce -> apply(context, base, inForce, wanted));
  }

  private static Either<ControlError, String> apply(
      CommandContext context, long base, FleetDescription inForce, FleetDescription wanted) {
    if (inForce.getVersion() != base) {
      return Either.left(new ControlError.StaleBase(base, inForce.getVersion()));
    }
    List<SettingChange> changes = FleetDifference.between(inForce, wanted);
    if (changes.isEmpty()) {
      return Either.right(
          context.isJson()
              ? JsonText.of(AuditEntry.newBuilder().setResultingVersion(base))
              : "nothing to change, version %d is in force%n".formatted(base));
    }
    FleetPatch patch =
        FleetPatch.newBuilder()
            .setPatchId(context.randomIdentifiers().get())
            .setOperatorName(context.operator())
            .setBaseVersion(base)
            .addAllChanges(changes)
            .setReason(context.option("reason").orElse(""))
            .build();
    return context.client().patch(patch).map(entry -> PatchResult.textOf(context, entry));
  }
}
