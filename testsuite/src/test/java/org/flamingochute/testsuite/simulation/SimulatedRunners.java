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

/** Simulates the runners, each with a number of slots and a behaviour. */
public final class SimulatedRunners {

  private static final int SLOTS = 8;

  private final VirtualClock clock;
  private final NetworkConditions network;
  private final SimulatedPlatform platform;
  private final ObservationJournal journal;
  private final Map<String, RunnerBehaviour> behaviours = new HashMap<>();
  private final Map<String, Set<Execution>> executions = new HashMap<>();

  /** A request in progress on a runner. */
  private static final class Execution {
    final WorkText work;
    final CompletableFuture<EndpointOutcome> result;

    Execution(WorkText work, CompletableFuture<EndpointOutcome> result) {
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
  public void cutAll(String runner, boolean planned) {
    for (Execution execution : Set.copyOf(executions.getOrDefault(runner, Set.of()))) {
      if (planned) {
        journal.add(
            new Observation.WorkCutByPlannedStop(
                clock.nowMilliseconds(), runner, execution.work.tag()));
      }
      end(runner, execution);
      execution.result.complete(new EndpointOutcome.Unknown("connection closed by endpoint"));
    }
  }

  /** Returns the endpoint client of a process. */
  public EndpointClient reachedBy(SimulatedProcess process) {
    return (address, request) -> {
      CompletableFuture<EndpointOutcome> fromRunner = new CompletableFuture<>();
      CompletableFuture<EndpointOutcome> toProcess = new CompletableFuture<>();
      fromRunner.thenAccept(outcome -> answer(process, address, outcome, toProcess));
      process.runAfter(
          request.timeoutMilliseconds(),
          () -> toProcess.complete(timeoutOutcome(process, address)));
      if (network.passes(process.name(), address)) {
        long latency = network.latencyMilliseconds(process.name(), address);
        clock.after(latency, () -> arrive(address, request, fromRunner));
      }
      return toProcess;
    };
  }

  private EndpointOutcome timeoutOutcome(SimulatedProcess process, String address) {
    if (!network.passes(process.name(), address)) {
      return new EndpointOutcome.NotRun("connect timed out", false);
    }
    return new EndpointOutcome.Unknown("answer timed out");
  }

  private void answer(
      SimulatedProcess process,
      String address,
      EndpointOutcome outcome,
      CompletableFuture<EndpointOutcome> toProcess) {
    if (network.passes(address, process.name())) {
      long latency = network.latencyMilliseconds(address, process.name());
      process.runAfter(latency, () -> toProcess.complete(outcome));
    }
  }

  private void arrive(
      String runner, EndpointRequest request, CompletableFuture<EndpointOutcome> result) {
    Optional<SimulatedInstance> instance = platform.instance(runner);
    if (instance.isEmpty() || !instance.get().isReachable()) {
      result.complete(new EndpointOutcome.NotRun("connection refused", false));
      return;
    }
    RunnerBehaviour behaviour = behaviours.getOrDefault(runner, RunnerBehaviour.HEALTHY);
    Set<Execution> running = executions.computeIfAbsent(runner, name -> new HashSet<>());
    if (behaviour == RunnerBehaviour.BUSY || running.size() >= SLOTS) {
      result.complete(new EndpointOutcome.NotRun("all slots are taken", true));
      return;
    }
    begin(runner, request, behaviour, new Execution(WorkText.parse(request.body()), result));
  }

  private void begin(
      String runner, EndpointRequest request, RunnerBehaviour behaviour, Execution execution) {
    WorkText work = execution.work;
    executions.get(runner).add(execution);
    journal.add(
        new Observation.RunnerBegan(clock.nowMilliseconds(), runner, work.tag(), work.team()));
    long run = work.runMilliseconds();
    if (behaviour == RunnerBehaviour.LATE) {
      run = request.timeoutMilliseconds() + run;
    }
    long stopAfter = request.timeoutMilliseconds();
    clock.after(Math.min(run, stopAfter), () -> end(runner, execution));
    clock.after(run, () -> execution.result.complete(outcomeOf(behaviour, work)));
  }

  private EndpointOutcome outcomeOf(RunnerBehaviour behaviour, WorkText work) {
    byte[] body = work.answer().getBytes(StandardCharsets.UTF_8);
    return switch (behaviour) {
      case HEALTHY, LATE, BUSY -> new EndpointOutcome.Answered(200, List.of(), body);
      case FAILING -> new EndpointOutcome.Answered(500, List.of(), body);
      case SHORT -> new EndpointOutcome.Unknown("answer is short");
      case CROSSED -> new EndpointOutcome.Unknown("answer belongs to another request");
      case CUT -> new EndpointOutcome.Unknown("connection closed by endpoint");
    };
  }

  private void end(String runner, Execution execution) {
    if (executions.get(runner).remove(execution)) {
      journal.add(
          new Observation.RunnerEnded(
              clock.nowMilliseconds(), runner, execution.work.tag(), execution.work.team()));
    }
  }
}
