package org.flamingochute.control;

import io.vavr.control.Either;
import org.flamingochute.schema.FleetDescription;

/** Validates a description file without contacting an entry. */
final class ValidateCommand implements Command {

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context.descriptionFile().map(description -> format(context, description));
  }

  private static String format(CommandContext context, FleetDescription description) {
    if (context.isJson()) {
      return JsonText.of(description);
    }
    return "valid: %d pools, %d services, %d teams, %d keys, %d operators, %d waves%n"
        .formatted(
            description.getPoolsCount(),
            description.getServicesCount(),
            description.getTeamsCount(),
            description.getKeysCount(),
            description.getOperatorsCount(),
            description.getWavesCount());
  }
}
