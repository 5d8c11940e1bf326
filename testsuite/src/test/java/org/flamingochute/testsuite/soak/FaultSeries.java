package org.flamingochute.testsuite.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;

/** Carries out the faults of a series, which may overlap, and ends all of them. */
final class FaultSeries {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time in which the process of a worker gets ready for its birth. */
  private static final long PREPARATION_MILLISECONDS = 1_500;

  private static final long STOP_GRACE_SECONDS = 8;
  private static final long MAXIMUM_LATE_APPEND_MILLISECONDS = 5_000;
  private static final long MINIMUM_LATE_CALL_MILLISECONDS = 2_000;
  private static final long MAXIMUM_LATE_CALL_MILLISECONDS = 12_000;
  private static final long MAXIMUM_DELAY_MILLISECONDS = 1_500;
  private static final long MAXIMUM_TRANSIT_MILLISECONDS = 2_500;
  private static final long MAXIMUM_PRELUDE_MILLISECONDS = 1_000;

  private final List<SoakNode> nodes;
  private final List<WorkerHost> workers;
  private final List<IOException> failures = new CopyOnWriteArrayList<>();

  /** A step of a fault. */
  @FunctionalInterface
  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  FaultSeries(List<SoakNode> nodes, List<WorkerHost> workers) {
    this.nodes = nodes;
    this.workers = workers;
  }

  /** Carries out all faults and returns after the last has ended. */
  void run(List<SoakFault> faults) throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (SoakFault fault : faults) {
      threads.add(Thread.startVirtualThread(() -> runAt(fault)));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    if (!failures.isEmpty()) {
      throw new IllegalStateException(
          "faults cannot be carried out: " + failures, failures.getFirst());
    }
  }

  private void runAt(SoakFault fault) {
    try {
      Thread.sleep(fault.atMilliseconds());
      logger.atInfo().log("event=fault_begun fault=%s", fault);
      execute(fault);
      logger.atInfo().log("event=fault_ended fault=%s", fault);
    } catch (IOException e) {
      failures.add(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void execute(SoakFault fault) throws IOException, InterruptedException {
    switch (fault.kind()) {
      case STORE_DOWN -> {
        // A write that the store has taken gets no answer before the connection is reset.
        withStoreRule(nodes, request -> new FaultProxy.Treatment.SilenceAnswer(), prelude(fault));
        refuse(fault, nodes.stream().map(SoakNode::store).toList());
      }
      case STORE_LOSES_ANSWERS ->
          withStoreRule(nodes, lossOfAnswers(fault), fault.durationMilliseconds());
      case STORE_REFUSES ->
          withStoreRule(
              nodes,
              sometimes(fault, request -> new FaultProxy.Treatment.Refuse()),
              fault.durationMilliseconds());
      case STORE_LATE ->
          withStoreRule(
              nodes, sometimes(fault, FaultSeries::lateAppend), fault.durationMilliseconds());
      case STORE_SLOW -> withStoreRule(nodes, FaultSeries::delayed, fault.durationMilliseconds());
      case STORE_CUT -> {
        List<SoakNode> node = List.of(nodeOf(fault));
        if (fault.strength() < 0.6) {
          refuse(fault, List.of(node.get(0).store()));
        } else {
          withStoreRule(
              node, request -> new FaultProxy.Treatment.Silence(), fault.durationMilliseconds());
        }
      }
      case STORE_ONE_WAY ->
          withStoreRule(
              List.of(nodeOf(fault)),
              request -> new FaultProxy.Treatment.SilenceAnswer(),
              fault.durationMilliseconds());
      case NODE_KILLED ->
          restart(nodeOf(fault), fault.durationMilliseconds() / 2, SoakProcess::kill);
      case NODE_STOPPED ->
          restart(
              nodeOf(fault),
              fault.durationMilliseconds() / 2,
              process -> process.stop(STOP_GRACE_SECONDS));
      case NODE_FROZEN -> freeze(nodeOf(fault), 2 * fault.durationMilliseconds());
      case WORKER_KILLED -> {
        for (WorkerHost worker : workersOf(fault)) {
          worker.kill();
        }
        Thread.sleep(fault.durationMilliseconds() / 2);
        startIfDead(workersOf(fault));
      }
      case WORKER_FROZEN -> {
        for (WorkerHost worker : workersOf(fault)) {
          worker.signal("STOP");
        }
        Thread.sleep(2 * fault.durationMilliseconds());
        for (WorkerHost worker : workersOf(fault)) {
          worker.signal("CONT");
        }
      }
      case WORKER_STARTED_AGAIN -> {
        setRule(fault, lateCalls("/run-", false, 0, MAXIMUM_TRANSIT_MILLISECONDS));
        Thread.sleep(prelude(fault));
        for (WorkerHost worker : workersOf(fault)) {
          worker.kill();
        }
        startIfDead(workersOf(fault));
        workersOf(fault).forEach(worker -> worker.proxy().clearRule());
      }
      case WORKER_REFUSED -> {
        setRule(fault, request -> new FaultProxy.Treatment.SilenceAnswer());
        Thread.sleep(prelude(fault));
        refuse(fault, workersOf(fault).stream().map(WorkerHost::proxy).toList());
        workersOf(fault).forEach(worker -> worker.proxy().clearRule());
      }
      case WORKER_LATE -> withWorkerRule(fault, lateCalls(fault.plan().lateCalls()));
      case WORKER_RESTARTED_AND_CUT -> restartAndCut(fault);
      case WORKER_LOSES_ANSWERS -> withWorkerRule(fault, lossOfAnswers(fault));
      case WORKER_SILENT -> withWorkerRule(fault, request -> new FaultProxy.Treatment.Silence());
      case WORKER_SLOW -> withWorkerRule(fault, FaultSeries::delayed);
      default -> throw new IllegalStateException("unknown fault " + fault);
    }
  }

  private void restartAndCut(SoakFault fault) throws IOException, InterruptedException {
    RestartPlan plan = fault.plan();
    for (WorkerHost worker : workersOf(fault)) {
      worker.prepare();
    }
    Thread.sleep(PREPARATION_MILLISECONDS);
    final Thread handOver = Thread.startVirtualThread(() -> handOver(plan));
    Thread.sleep(Math.max(0, -plan.handOverDelay()));
    if (plan.lateCalls() != RestartPlan.LateCalls.NONE) {
      setRule(fault, sometimes(fault, lateCalls(plan.lateCalls())));
    }
    for (WorkerHost worker : workersOf(fault)) {
      worker.kill(plan.gap());
    }
    Thread.sleep(plan.downtime());
    startIfDead(workersOf(fault));
    Thread.sleep(Math.max(0, plan.cutDelay() - plan.oneWay()));
    setRule(fault, request -> new FaultProxy.Treatment.SilenceAnswer());
    Thread.sleep(plan.oneWay());
    workersOf(fault).forEach(worker -> worker.cut(plan.isCutFromStore()));
    workersOf(fault).forEach(worker -> worker.proxy().clearRule());
    Thread.sleep(plan.cutDuration());
    workersOf(fault).forEach(WorkerHost::mend);
    handOver.join();
  }

  private void handOver(RestartPlan plan) {
    try {
      Thread.sleep(Math.max(0, plan.handOverDelay()));
      SoakNode leader = leaderOr(nodes.get(0));
      switch (plan.handOver()) {
        case NONE -> {}
        case STOPPED ->
            restart(leader, plan.handOverDuration(), process -> process.stop(STOP_GRACE_SECONDS));
        case KILLED -> restart(leader, plan.handOverDuration(), SoakProcess::kill);
        case FROZEN -> freeze(leader, plan.handOverDuration());
        default -> throw new IllegalStateException("unknown hand-over " + plan);
      }
    } catch (IOException e) {
      failures.add(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void freeze(SoakNode node, long milliseconds)
      throws IOException, InterruptedException {
    SoakProcess process = node.process();
    process.signal("STOP");
    Thread.sleep(milliseconds);
    process.signal("CONT");
  }

  private SoakNode nodeOf(SoakFault fault) throws IOException {
    SoakNode target = nodes.get(fault.target());
    return fault.width() == 1 ? target : leaderOr(target);
  }

  /** Returns the node that took the leadership last; another one if none has. */
  private SoakNode leaderOr(SoakNode other) throws IOException {
    SoakNode target = other;
    String latest = "";
    for (SoakNode node : nodes) {
      String leadership = node.lastLeadership();
      if (leadership.compareTo(latest) > 0) {
        latest = leadership;
        target = node;
      }
    }
    return target;
  }

  private List<WorkerHost> workersOf(SoakFault fault) {
    List<WorkerHost> affected = new ArrayList<>();
    for (int i = 0; i < Math.min(fault.width(), workers.size()); i++) {
      affected.add(workers.get((fault.target() + i) % workers.size()));
    }
    return affected;
  }

  private void setRule(SoakFault fault, Function<HttpMessage, FaultProxy.Treatment> rule) {
    workersOf(fault).forEach(worker -> worker.proxy().setRule(rule));
  }

  /** Ends a process. */
  @FunctionalInterface
  private interface Ending {
    void end(SoakProcess process) throws IOException, InterruptedException;
  }

  private static void restart(SoakNode node, long milliseconds, Ending ending)
      throws IOException, InterruptedException {
    synchronized (node) {
      ending.end(node.process());
      Thread.sleep(milliseconds);
      node.start();
      node.awaitListening();
    }
  }

  private static void startIfDead(List<WorkerHost> deadWorkers)
      throws IOException, InterruptedException {
    for (WorkerHost worker : deadWorkers) {
      synchronized (worker) {
        if (!worker.isAlive()) {
          worker.start();
        }
      }
    }
  }

  /** Time for which calls have effect without a response before their connections are reset. */
  private static long prelude(SoakFault fault) {
    return Math.round(fault.strength() * MAXIMUM_PRELUDE_MILLISECONDS);
  }

  private static void refuse(SoakFault fault, List<FaultProxy> proxies)
      throws IOException, InterruptedException {
    for (FaultProxy proxy : proxies) {
      proxy.refuse();
    }
    Thread.sleep(fault.durationMilliseconds());
    for (FaultProxy proxy : proxies) {
      proxy.reopen();
    }
  }

  private static void withStoreRule(
      List<SoakNode> affectedNodes,
      Function<HttpMessage, FaultProxy.Treatment> rule,
      long milliseconds)
      throws InterruptedException {
    affectedNodes.forEach(node -> node.store().setRule(rule));
    Thread.sleep(milliseconds);
    affectedNodes.forEach(node -> node.store().clearRule());
  }

  private void withWorkerRule(SoakFault fault, Function<HttpMessage, FaultProxy.Treatment> rule)
      throws InterruptedException {
    setRule(fault, sometimes(fault, rule));
    Thread.sleep(fault.durationMilliseconds());
    workersOf(fault).forEach(worker -> worker.proxy().clearRule());
  }

  private static Function<HttpMessage, FaultProxy.Treatment> sometimes(
      SoakFault fault, Function<HttpMessage, FaultProxy.Treatment> rule) {
    return request ->
        ThreadLocalRandom.current().nextDouble() < fault.strength()
            ? rule.apply(request)
            : new FaultProxy.Treatment.Forward(0);
  }

  private static Function<HttpMessage, FaultProxy.Treatment> lossOfAnswers(SoakFault fault) {
    return sometimes(
        fault,
        request ->
            fault.target() % 2 == 0
                ? new FaultProxy.Treatment.LoseAnswer()
                : new FaultProxy.Treatment.SilenceAnswer());
  }

  private static FaultProxy.Treatment delayed(HttpMessage request) {
    return new FaultProxy.Treatment.Forward(
        ThreadLocalRandom.current().nextLong(MAXIMUM_DELAY_MILLISECONDS));
  }

  private static FaultProxy.Treatment lateAppend(HttpMessage request) {
    return request.firstLine().contains("/log-append")
        ? new FaultProxy.Treatment.DeliverLate(
            ThreadLocalRandom.current().nextLong(MAXIMUM_LATE_APPEND_MILLISECONDS), true)
        : new FaultProxy.Treatment.Forward(0);
  }

  /** Calls that a worker leaves unanswered and carries out later, while it lives. */
  private static Function<HttpMessage, FaultProxy.Treatment> lateCalls(
      RestartPlan.LateCalls calls) {
    return lateCalls(
        calls == RestartPlan.LateCalls.NONE ? "" : calls.path(),
        true,
        MINIMUM_LATE_CALL_MILLISECONDS,
        MAXIMUM_LATE_CALL_MILLISECONDS);
  }

  private static Function<HttpMessage, FaultProxy.Treatment> lateCalls(
      String path, boolean onlyThisStart, long minimumMilliseconds, long maximumMilliseconds) {
    return request ->
        request.firstLine().contains(path)
            ? new FaultProxy.Treatment.DeliverLate(
                ThreadLocalRandom.current().nextLong(minimumMilliseconds, maximumMilliseconds),
                onlyThisStart)
            : new FaultProxy.Treatment.Forward(0);
  }

  /** Ends whatever a fault has left behind, so that all processes run and reach each other. */
  void heal() throws IOException, InterruptedException {
    for (SoakNode node : nodes) {
      node.process().signal("CONT");
      node.store().clearRule();
      node.store().reopen();
      if (!node.isAlive()) {
        node.start();
        node.awaitListening();
      }
    }
    for (WorkerHost worker : workers) {
      worker.signal("CONT");
      worker.proxy().clearRule();
      startIfDead(List.of(worker));
      worker.proxy().reopen();
    }
  }
}
