package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** The team to which requests without a key are attributed must exist. */
final class OpenServiceHasTeam implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    description
        .getServicesMap()
        .forEach(
            (name, service) -> {
              String team = service.getOpenTeam();
              boolean isNeeded = service.getOpen() || !team.isEmpty();
              if (isNeeded && !description.containsTeams(team)) {
                errors.report(
                    FleetRule.invalid("service", name, "open_team", team, "no such team"));
              }
            });
  }
}
