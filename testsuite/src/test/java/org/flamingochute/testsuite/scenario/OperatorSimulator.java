package org.flamingochute.testsuite.scenario;

import io.vavr.control.Either;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.SettingChange;
import org.flamingochute.testsuite.observation.Observation;

/**
 * Simulates the operators of a scenario, which send patches. A change is written {@code
 * kind/name/key:value}, and the removal of a section or key {@code remove:kind/name} or {@code
 * remove:kind/name/key}, for example {@code 500 patch raise entry=a base=1 team/captains/cap:20}.
 */
final class OperatorSimulator {

  private static final String REMOVAL_PREFIX = "remove:";

  private final ScenarioEnvironment environment;

  OperatorSimulator(ScenarioEnvironment environment) {
    this.environment = environment;
  }

  /** Schedules a command of an operator; returns false if the command is of another kind. */
  boolean schedule(ScenarioCommand command) {
    if (!command.verb().equals("patch")) {
      return false;
    }
    environment.clock.runAfter(command.atMilliseconds(), () -> send(command));
    return true;
  }

  private void send(ScenarioCommand command) {
    SimulatedEntry entry =
        environment
            .entry(command.option("entry", "a"))
            .orElseThrow(() -> command.error("unknown entry"));
    FleetPatch.Builder patch =
        FleetPatch.newBuilder()
            .setPatchId(command.option("id", command.word(0)))
            .setOperatorName(command.option("operator", "ana"))
            .setBaseVersion(command.number("base", 1))
            .setReason("scenario");
    command.words().subList(1, command.words().size()).stream()
        .map(word -> parseChange(command, word))
        .forEach(patch::addChanges);
    String operatorKey = command.option("operator-key", "ana-secret");
    entry
        .process()
        .runAfter(
            1,
            () ->
                entry
                    .node()
                    .patch(operatorKey, patch.build())
                    .thenAccept(
                        result ->
                            environment.clock.runAfter(
                                1, () -> handleResult(command.word(0), result))));
  }

  private static SettingChange parseChange(ScenarioCommand command, String word) {
    boolean removal = word.startsWith(REMOVAL_PREFIX);
    String[] parts = (removal ? word.substring(REMOVAL_PREFIX.length()) : word).split("/", 3);
    if (parts.length < 2) {
      throw command.error("invalid change: \"" + word + "\"");
    }
    SettingChange.Builder change =
        SettingChange.newBuilder().setSectionKind(parts[0]).setSectionName(parts[1]);
    if (removal) {
      return change.setKey(parts.length == 3 ? parts[2] : "").build();
    }
    String[] keyAndValue = parts[2].split(":", 2);
    String value = Secrets.replaceWithDigests(keyAndValue[1]);
    return change.setKey(keyAndValue[0]).setValue(value).build();
  }

  private void handleResult(String name, Either<ErrorReport, AuditEntry> result) {
    long now = environment.clock.nowMilliseconds();
    environment.journal.add(
        result.fold(
            report -> new Observation.PatchFailed(now, name, report.toString()),
            entry -> new Observation.PatchCompleted(now, name, entry)));
  }
}
