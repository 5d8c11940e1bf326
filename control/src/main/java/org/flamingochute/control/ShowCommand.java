package org.flamingochute.control;

import io.vavr.control.Either;
import org.flamingochute.decision.fleet.FleetDescriptionFormatter;
import org.flamingochute.schema.FleetDescription;

/** Shows the description in force in the format of a description file. */
final class ShowCommand implements Command {

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .requireNoArgument()
        .flatMap(ignored -> context.client().description())
        .map(description -> format(context, description));
  }

  private static String format(CommandContext context, FleetDescription description) {
    if (context.isJson()) {
      return JsonText.of(description);
    }
    String header = "; version %d%n".formatted(description.getVersion());
    return header + new FleetDescriptionFormatter().format(description);
  }
}
