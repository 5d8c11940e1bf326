package org.flamingochute.control;

import io.vavr.control.Either;
import java.util.List;
import org.flamingochute.decision.fleet.FleetDifference;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.SettingChange;

/** Shows what would turn the description in force into the one of a file. */
final class DiffCommand implements Command {

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .descriptionFile()
        .flatMap(
            wanted ->
                context.client().description().map(inForce -> textOf(context, inForce, wanted)));
  }

  private static String textOf(
      CommandContext context, FleetDescription inForce, FleetDescription wanted) {
    List<SettingChange> changes = FleetDifference.between(inForce, wanted);
    if (context.isJson()) {
      return JsonText.of(
          FleetPatch.newBuilder().setBaseVersion(inForce.getVersion()).addAllChanges(changes));
    }
    String head = "%d changes against version %d%n".formatted(changes.size(), inForce.getVersion());
    return head + ChangeListing.of(inForce, changes);
  }
}
