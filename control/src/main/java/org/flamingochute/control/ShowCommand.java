package org.flamingochute.control;

import io.vavr.control.Either;
import org.flamingochute.decision.fleet.FleetDescriptionFormatter;
import org.flamingochute.schema.FleetDescription;

/** Shows the description in force, in the form of a file for version control. */
final class ShowCommand implements Command {

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .noArgument()
        .flatMap(nothing -> context.client().description())
        .map(description -> textOf(context, description));
  }

  private static String textOf(CommandContext context, FleetDescription description) {
    if (context.isJson()) {
      return JsonText.of(description);
    }
    String head = "; version %d%n".formatted(description.getVersion());
    return head + new FleetDescriptionFormatter().format(description);
  }
}
