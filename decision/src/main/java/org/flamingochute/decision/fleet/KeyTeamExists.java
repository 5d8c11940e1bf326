package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** The team of a key must exist. */
final class KeyTeamExists implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    description
        .getKeysMap()
        .forEach(
            (name, key) -> {
              if (!description.containsTeams(key.getTeam())) {
                errors.report(
                    FleetRule.invalid("key", name, "team", key.getTeam(), "no such team"));
              }
            });
  }
}
