package org.flamingochute.testsuite.simulation;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.EndpointOutcome;
import org.flamingochute.platform.EndpointRequest;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservationJournal;

/** Simulates the runners, each with eight slots and a behaviour. */
public final class SimulatedRunners {

  private static final int SLOTS_PER_RUNNER = 8;

  private final VirtualClock clock;
  private final NetworkConditions network;
  private final SimulatedPlatform platform;
  private final ObservationJournal journal;
  private final Map<String, RunnerBehaviour> behaviours = new HashMap<>();
  private final Map<String, Set<Execution>> executions = new HashMap<>();

  /** A request in progress on a runner. */
  private static final class Execution {
    final WorkSpecification work;
    final CompletableFuture<EndpointOutcome> result;

    Execution(WorkSpecification work, CompletableFuture<EndpointOutcome> result) {
      this.work = work;
      this.result = result;
    }
  }

  /** Creates runners for the runner instances of a platform. */
  public SimulatedRunners(
      VirtualClock clock,
      NetworkConditions network,
      SimulatedPlatform platform,
      ObservationJournal journal) {
    this.clock = clock;
    this.network = network;
    this.platform = platform;
    this.journal = journal;
  }

  /** Sets how a runner responds from now on. */
  public void setBehaviour(String runner, RunnerBehaviour behaviour) {
    behaviours.put(runner, behaviour);
  }

  /**
   * Terminates all requests on a runner.
   *
   * @param planned whether to record the requests as interrupted by a planned stop
   */
  public void terminateAll(String runner, boolean planned) {
    for (Execution execution : Set.copyOf(executions.getOrDefault(runner, Set.of()))) {
      if (planned) {
        journal.add(
            new Observation.WorkInterruptedByPlannedStop(
                clock.nowMilliseconds(), runner, execution.work.tag()));
      }
      endExecution(runner, execution);
      execution.result.complete(new EndpointOutcome.Unknown("connection closed by endpoint"));
    }
  }

  /** Returns the endpoint client of a process. */
  public EndpointClient clientFor(SimulatedProcess process) {
    return (address, request) -> {
      CompletableFuture<EndpointOutcome> runnerOutcome = new CompletableFuture<>();
      CompletableFuture<EndpointOutcome> callerOutcome = new CompletableFuture<>();
      runnerOutcome.thenAccept(outcome -> deliverOutcome(process, address, outcome, callerOutcome));
      process.runAfter(
          request.timeoutMilliseconds(),
          () -> callerOutcome.complete(timeoutOutcome(process, address)));
      if (network.isConnected(process.name(), address)) {
        long latency = network.latencyMilliseconds(process.name(), address);
        clock.runAfter(latency, () -> receiveRequest(address, request, runnerOutcome));
      }
      return callerOutcome;
    };
  }

  private EndpointOutcome timeoutOutcome(SimulatedProcess process, String address) {
    if (!network.isConnected(process.name(), address)) {
      return new EndpointOutcome.NotRun("connect timed out", false);
    }
    return new EndpointOutcome.Unknown("answer timed out");
  }

  private void deliverOutcome(
      SimulatedProcess process,
      String address,
      EndpointOutcome outcome,
      CompletableFuture<EndpointOutcome> callerOutcome) {
    if (network.isConnected(address, process.name())) {
      long latency = network.latencyMilliseconds(address, process.name());
      process.runAfter(latency, () -> callerOutcome.complete(outcome));
    }
  }

  private void receiveRequest(
      String runner, EndpointRequest request, CompletableFuture<EndpointOutcome> result) {
    Optional<SimulatedInstance> instance = platform.instance(runner);
    if (instance.isEmpty() || !instance.get().isReachable()) {
      result.complete(new EndpointOutcome.NotRun("connection refused", false));
      return;
    }
    RunnerBehaviour behaviour = behaviours.getOrDefault(runner, RunnerBehaviour.HEALTHY);
    Set<Execution> running = executions.computeIfAbsent(runner, name -> new HashSet<>());
    if (behaviour == RunnerBehaviour.BUSY || running.size() >= SLOTS_PER_RUNNER) {
      result.complete(new EndpointOutcome.NotRun("all slots are taken", true));
      return;
    }
    startExecution(
        runner, request, behaviour, new Execution(WorkSpecification.parse(request.body()), result));
  }

  private void startExecution(
      String runner, EndpointRequest request, RunnerBehaviour behaviour, Execution execution) {
    WorkSpecification work = execution.work;
    executions.get(runner).add(execution);
    journal.add(
        new Observation.RunnerStartedRequest(
            clock.nowMilliseconds(), runner, work.tag(), work.team()));
    long runMilliseconds = work.runMilliseconds();
    if (behaviour == RunnerBehaviour.LATE) {
      runMilliseconds = request.timeoutMilliseconds() + runMilliseconds;
    }
    long timeoutMilliseconds = request.timeoutMilliseconds();
    clock.runAfter(
        Math.min(runMilliseconds, timeoutMilliseconds), () -> endExecution(runner, execution));
    clock.runAfter(runMilliseconds, () -> execution.result.complete(outcomeOf(behaviour, work)));
  }

  private EndpointOutcome outcomeOf(RunnerBehaviour behaviour, WorkSpecification work) {
    byte[] body = work.response().getBytes(StandardCharsets.UTF_8);
    return switch (behaviour) {
      case HEALTHY, LATE, BUSY -> new EndpointOutcome.Answered(200, List.of(), body);
      case FAILING -> new EndpointOutcome.Answered(500, List.of(), body);
      case SHORT -> new EndpointOutcome.Unknown("answer is short");
      case CROSSED -> new EndpointOutcome.Unknown("answer belongs to another request");
      case CUT -> new EndpointOutcome.Unknown("connection closed by endpoint");
    };
  }

  private void endExecution(String runner, Execution execution) {
    if (executions.get(runner).remove(execution)) {
      journal.add(
          new Observation.RunnerEndedRequest(
              clock.nowMilliseconds(), runner, execution.work.tag(), execution.work.team()));
    }
  }
}
