package org.flamingochute.decision.fleet;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.FleetDescription;

/** Validates the rules that relate several values of a fleet description. */
public final class FleetDescriptionValidator {

  private static final List<FleetRule> RULES =
      List.of(
          new SparePoolExists(),
          new AvailabilityWithinSize(),
          new ServicePoolHasRunners(),
          new ConnectionsCoverSlots(),
          new OpenServiceHasTeam(),
          new KeyTeamExists(),
          new DigestsAreUnique(),
          new InstancePoolExists(),
          new WavePoolsExist(),
          new OperatorNameNotReserved(),
          new PatchOperatorExists());

  /** Returns the description itself, or all its errors. */
  public Either<List<ErrorReport>, FleetDescription> validate(FleetDescription description) {
    List<ErrorReport> errors = new ArrayList<>();
    for (FleetRule rule : RULES) {
      rule.check(description, errors::add);
    }
    if (!errors.isEmpty()) {
      return Either.left(List.copyOf(errors));
    }
    return Either.right(description);
  }
}
