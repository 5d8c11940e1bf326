package org.flamingochute.control;

import io.vavr.control.Either;
import java.util.List;
import org.flamingochute.decision.fleet.FleetDifference;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.SettingChange;

/** Shows the changes from the description in force to that of a file. */
final class DiffCommand implements Command {

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .descriptionFile()
        .flatMap(
            target ->
                context.client().description().map(current -> format(context, current, target)));
  }

  private static String format(
      CommandContext context, FleetDescription current, FleetDescription target) {
    List<SettingChange> changes = FleetDifference.between(current, target);
    if (context.isJson()) {
      return JsonText.of(
          FleetPatch.newBuilder().setBaseVersion(current.getVersion()).addAllChanges(changes));
    }
    String header =
        "%d changes against version %d%n".formatted(changes.size(), current.getVersion());
    return header + ChangeFormatter.format(current, changes);
  }
}
