package org.flamingochute.scheduling.scenario;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.fleet.Team;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.scheduling.simulation.SimulatedStore;
import org.flamingochute.scheduling.simulation.WorkerFaultInjector;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;

/** Executes one scenario, line by line. */
final class ScenarioExecutor {
  private final FleetDeclaration.Builder declaration = FleetDeclaration.builder().version(1);
  private Optional<SimulatedFleet> fleet = Optional.empty();

  void execute(ScenarioLine line) {
    switch (line.word(0)) {
      case "queue" -> declareQueue(line);
      case "team" -> declareTeam(line);
      case "worker" -> fleet().addWorker(line.word(1), pool(line), capacity(line), labels(line));
      case "foreign-worker" ->
          fleet()
              .listForeignWorker(
                  line.word(1), line.value("address", ""), line.number("started", fleet().now()));
      case "machine" -> fleet().addMachine(line.word(1), pool(line), capacity(line));
      case "pool" -> declaration.pool(new Pool(new PoolId(line.word(1)), true, true));
      case "submit" -> submit(line);
      case "cancel" -> fleet().cancel(new JobId(line.word(1)));
      case "advance" -> fleet().advance(Long.parseLong(line.word(1)));
      case "takeover" -> takeOver(line.word(1));
      case "resume-leaders" -> fleet().resumeFormerLeaders();
      case "store" -> injectStoreFault(line);
      case "fault" -> injectFault(line);
      case "expect" -> expect(line);
      default -> throw new IllegalArgumentException("unknown line \"" + line + "\"");
    }
  }

  private SimulatedFleet fleet() {
    if (fleet.isEmpty()) {
      fleet = Optional.of(new SimulatedFleet(declaration.build()));
    }
    return fleet.get();
  }

  private void declareQueue(ScenarioLine line) {
    QueuePolicy policy =
        QueuePolicy.newBuilder()
            .setService(line.value("pool", "p"))
            .setPriority((int) line.number("priority", 0))
            .setMaximumAttempts((int) line.number("attempts", 3))
            .setSlackFactor(Double.parseDouble(line.value("slack", "1.6")))
            .setObjectiveMilliseconds(line.number("objective", 600))
            .build();
    declaration.queue(
        new Queue(
            new QueueId(line.word(1)), "host", "/" + line.word(1) + "/", 3_000, true, policy));
    declaration.pool(new Pool(pool(line), true, false));
  }

  private void declareTeam(ScenarioLine line) {
    ResourceVector cap = new ResourceVector(line.number("cpu", 0), line.number("mem", 0), 0);
    declaration.team(new Team(new TeamId(line.word(1)), Set.of(), 1, cap));
  }

  private static PoolId pool(ScenarioLine line) {
    return new PoolId(line.value("pool", "p"));
  }

  private static ResourceVector capacity(ScenarioLine line) {
    return new ResourceVector(line.number("cpu", 32_000), line.number("mem", 65_536), 0);
  }

  private static List<String> labels(ScenarioLine line) {
    return List.of(line.value("kind", "a"), line.value("rack", "r1"));
  }

  private void submit(ScenarioLine line) {
    QueuedJob.Builder job =
        QueuedJob.newBuilder()
            .setQueue(line.value("queue", "q"))
            .setOrganisation(line.value("team", ""))
            .setAcceptedMilliseconds(fleet().now());
    for (String step : line.values("step")) {
      job.addSteps(parseStep(step));
    }
    JobId id = new JobId(line.word(1));
    if (line.value("run", "").equals("fail")) {
      fleet().failRunsOf(id);
      fleet().submit(id, job.build(), 0);
      return;
    }
    fleet().submit(id, job.build(), line.number("run", 100));
  }

  /** Parses a step in the form count:4,cpu:1000,after:0. */
  private static QueuedStep parseStep(String text) {
    QueuedStep.Builder step =
        QueuedStep.newBuilder().setCount(1).setProcessorMillicores(1_000).setMemoryMebibytes(100);
    for (String part : text.split(",")) {
      String key = part.contains(":") ? part.substring(0, part.indexOf(':')) : part;
      String value = part.substring(part.indexOf(':') + 1);
      switch (key) {
        case "count" -> step.setCount(Integer.parseInt(value));
        case "cpu" -> step.setProcessorMillicores(Integer.parseInt(value));
        case "mem" -> step.setMemoryMebibytes(Integer.parseInt(value));
        case "estimate" -> step.setEstimateMilliseconds(Long.parseLong(value));
        case "after" -> step.addDependencies(Integer.parseInt(value));
        case "per-worker" -> step.setMaximumPerWorker(Integer.parseInt(value));
        case "label" -> step.setRequiredLabel(value);
        case "rack" -> step.setPreferredRack(value);
        case "unavailable" -> step.setMaximumUnavailable(Integer.parseInt(value));
        case "lasting" -> step.setLongRunning(true);
        case "filler" -> step.setFiller(true);
        case "gang" -> step.setGang(true);
        default -> throw new IllegalArgumentException("unknown part of a step \"" + part + "\"");
      }
    }
    return step.build();
  }

  private void injectFault(ScenarioLine line) {
    WorkerFaultInjector worker = fleet().worker(line.word(1));
    switch (line.word(2)) {
      case "unreachable" -> worker.setReachable(false);
      case "reachable" -> worker.setReachable(true);
      case "unlisted" -> worker.unlist();
      case "restarted" -> worker.restart();
      case "restarts-before-start" -> worker.restartBeforeNextStart();
      case "listed" -> worker.list();
      case "draining" -> worker.startDraining();
      case "fails" -> worker.failAllRuns();
      case "stalls" -> worker.stallRuns();
      case "slow" -> worker.slowDown(Long.parseLong(line.word(3)));
      case "loses-answer" -> worker.loseNextStartResponse();
      case "delays-start" -> worker.delayNextStart(Long.parseLong(line.word(3)));
      default -> throw new IllegalArgumentException("unknown fault in \"" + line + "\"");
    }
  }

  private void takeOver(String cause) {
    if (cause.equals("paused")) {
      fleet().replacePausedLeader();
      return;
    }
    fleet().replaceLeader(cause.equals("graceful"));
  }

  private void injectStoreFault(ScenarioLine line) {
    if (line.word(1).equals("delays-responses")) {
      fleet().store().setResponseDelay(Long.parseLong(line.word(2)));
      return;
    }
    SimulatedStore.Fault fault =
        switch (line.word(1)) {
          case "up" -> SimulatedStore.Fault.NONE;
          case "down" -> SimulatedStore.Fault.DOWN;
          case "loses-deletions" -> SimulatedStore.Fault.LOSES_DELETIONS;
          case "loses-deletion-responses" -> SimulatedStore.Fault.LOSES_DELETION_RESPONSES;
          default -> throw new IllegalArgumentException("unknown fault in \"" + line + "\"");
        };
    fleet().store().setFault(fault);
  }

  private void expect(ScenarioLine line) {
    String reason = line.toString();
    switch (line.word(1)) {
      case "phase" ->
          assertThat(reason, fleet().phase(new JobId(line.word(2))).name(), is(line.word(3)));
      case "starts" -> assertThat(reason, fleet().startsOf(task(line)), is(count(line, 3)));
      case "starts-at-most" ->
          assertThat(reason, fleet().startsOf(task(line)), lessThanOrEqualTo(count(line, 3)));
      case "on" -> assertThat(reason, fleet().lastWorkerOf(task(line)), is(line.word(3)));
      case "stored" ->
          assertThat(
              reason,
              fleet().isStored(new JobId(line.word(2))),
              is(Boolean.parseBoolean(line.word(3))));
      case "machines-in" ->
          assertThat(reason, fleet().machinesIn(new PoolId(line.word(2))), is(count(line, 3)));
      case "renewed" ->
          assertThat(
              reason, fleet().isRenewed(line.word(2)), is(Boolean.parseBoolean(line.word(3))));
      case "running" -> assertThat(reason, fleet().runningCount(), is(count(line, 2)));
      case "running-on" ->
          assertThat(reason, fleet().runningCountOn(line.word(2)), is(count(line, 3)));
      default -> throw new IllegalArgumentException("unknown expectation \"" + line + "\"");
    }
  }

  private static int count(ScenarioLine line, int position) {
    return Integer.parseInt(line.word(position));
  }

  private static TaskId task(ScenarioLine line) {
    String[] parts = line.word(2).split("\\.");
    return new TaskId(
        new JobId(parts[0]), 0, Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
  }
}
