package org.flamingochute.control;

import io.vavr.control.Either;
import java.util.List;
import org.flamingochute.decision.fleet.FleetDifference;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.SettingChange;

/** Applies the difference between the description in force and a file as one patch. */
final class ApplyCommand implements Command {

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .descriptionFile()
        .flatMap(
            target -> context.versionOption("base").flatMap(base -> apply(context, base, target)));
  }

  private static Either<ControlError, String> apply(
      CommandContext context, long base, FleetDescription target) {
    return context.client().description().flatMap(current -> apply(context, base, current, target));
  }

  private static Either<ControlError, String> apply(
      CommandContext context, long base, FleetDescription current, FleetDescription target) {
    if (current.getVersion() != base) {
      return Either.left(new ControlError.StaleBase(base, current.getVersion()));
    }
    List<SettingChange> changes = FleetDifference.between(current, target);
    if (changes.isEmpty()) {
      return Either.right(
          context.isJson()
              ? JsonText.of(AuditEntry.newBuilder().setResultingVersion(base))
              : "nothing to change, version %d is in force%n".formatted(base));
    }
    FleetPatch patch =
        FleetPatch.newBuilder()
            .setPatchId(context.identifierGenerator().get())
            .setOperatorName(context.operatorName())
            .setBaseVersion(base)
            .addAllChanges(changes)
            .setReason(context.option("reason").orElse(""))
            .build();
    return context.client().patch(patch).map(entry -> PatchResultFormatter.format(context, entry));
  }
}
