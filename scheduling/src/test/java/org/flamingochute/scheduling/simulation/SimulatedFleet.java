package org.flamingochute.scheduling.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.core.MachineOutcome;
import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.core.StartOutcome;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuedJob;

/**
 * Simulates workers, a store and one scheduler in virtual time.
 *
 * <p>It checks invariants of the runs on the workers: after each step, that no task runs on two
 * workers at once, and at each start, that the success of the task was not acknowledged before.
 */
public final class SimulatedFleet {
  private static final long STEP_DURATION_MILLISECONDS = 10;
  private static final long RENEWAL_INTERVAL_MILLISECONDS = 100;
  private static final long MACHINE_LIST_INTERVAL_MILLISECONDS = 250;

  private final SchedulerSettings settings =
      SchedulerSettings.builder()
          .maximumLeaseMilliseconds(SimulatedWorker.MAXIMUM_LEASE_MILLISECONDS)
          .build();
  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  private final SimulatedMachines machines = new SimulatedMachines();
  private final Map<TaskId, Long> durations = new HashMap<>();
  private final SimulatedRuns runs = new SimulatedRuns();
  private final List<DelayedStart> delayedStarts = new ArrayList<>();
  private final List<SchedulerCommand> commands = new ArrayList<>();
  private final SimulatedStore store = new SimulatedStore();
  private final SimulatedRenewals renewals =
      new SimulatedRenewals(store, runs, settings.leaseMilliseconds());
  private FleetDeclaration declaration;
  private Scheduler scheduler;
  private long now = 1_000;
  private long epoch = 1;

  private record DelayedStart(
      SimulatedWorker worker, SchedulerCommand.StartTask start, long token, long at) {}

  /** Creates a fleet without workers. */
  public SimulatedFleet(FleetDeclaration declaration) {
    this.declaration = declaration;
    scheduler = new Scheduler(settings, declaration, PredecessorState.OVER, now, now);
  }

  /** Applies a new declaration. */
  public void applyDeclaration(FleetDeclaration newestDeclaration) {
    declaration = newestDeclaration;
    scheduler.onDeclarationChanged(newestDeclaration);
  }

  /** Adds a worker. */
  public void addWorker(String name, PoolId pool, ResourceVector capacity, List<String> labels) {
    SimulatedWorker worker = new SimulatedWorker(name, pool, capacity, labels, now);
    workers.put(name, worker);
    scheduler.onWorkerListed(worker.report(), now);
  }

  /** Lists a worker that does not run, with the address of another one. */
  public void listForeignWorker(String name, String addressOwner, long startedAt) {
    SimulatedWorker owner = workers.get(addressOwner);
    SimulatedWorker foreign =
        new SimulatedWorker(name, owner.pool, owner.capacity, owner.labels, startedAt);
    foreign.address = owner.address;
    renewals.addForeignWorker(foreign.report());
    scheduler.onWorkerListed(foreign.report(), now);
  }

  /** Adds a machine with a worker of the same name. */
  public void addMachine(String name, PoolId pool, ResourceVector capacity) {
    machines.add(name, pool, capacity);
    addWorker(name, pool, capacity, List.of());
  }

  /** Returns a fault injector for a worker. */
  public WorkerFaultInjector worker(String name) {
    return new WorkerFaultInjector(workers.get(name), scheduler, now);
  }

  /** Submits a job whose tasks all run for the given time. */
  public void submit(JobId id, QueuedJob job, long taskMilliseconds) {
    for (int step = 0; step < job.getStepsCount(); step++) {
      for (int index = 0; index < job.getSteps(step).getCount(); index++) {
        durations.put(new TaskId(id, 0, step, index), taskMilliseconds);
      }
    }
    scheduler.onJobStored(store.jobs().define(id, job), now, now);
  }

  /** Cancels a job. */
  public void cancel(JobId id) {
    store.jobs().cancel(id);
    scheduler.onJobCancelled(id, now, now);
  }

  /** Returns the store, to inject faults. */
  public SimulatedStore store() {
    return store;
  }

  /** Returns whether the store has any record of a job. */
  public boolean isStored(JobId id) {
    return store.jobs().find(id).isPresent();
  }

  /** Replaces the leader with one that starts from the records in the store. */
  public void replaceLeader(boolean graceful) {
    epoch++;
    store.dropUnrecordedBatch();
    renewals.forgetAcknowledgements();
    PredecessorState predecessor = graceful ? PredecessorState.OVER : PredecessorState.UNKNOWN;
    scheduler = new Scheduler(settings, declaration, predecessor, now, now);
    for (WorkerReport report : renewals.foreignWorkers()) {
      scheduler.onWorkerListed(report, now);
    }
    for (SimulatedWorker worker : workers.values()) {
      if (worker.listed) {
        scheduler.onWorkerListed(worker.report(), now);
      } else {
        scheduler.restoreUnlistedWorker(worker.report());
      }
    }
    for (StoredJob job : List.copyOf(store.jobs().jobs())) {
      scheduler.onJobStored(job, now, now);
    }
  }

  /** Advances the virtual time. */
  public void advance(long milliseconds) {
    long end = now + milliseconds;
    while (now < end) {
      now += STEP_DURATION_MILLISECONDS;
      step();
    }
  }

  private void step() {
    deliverDelayedStarts();
    for (SimulatedWorker worker : workers.values()) {
      renewAfterEnds(worker, worker.advance(now, STEP_DURATION_MILLISECONDS));
    }
    if (now % RENEWAL_INTERVAL_MILLISECONDS == 0) {
      workers.values().forEach(worker -> renewals.renew(worker, scheduler, epoch, now));
      renewals.renewForeignWorkers(scheduler);
    }
    listMachines();
    scheduler.decide(now, now);
    scheduler.takeImmediateCommands().forEach(this::execute);
    store.record(scheduler, this::execute);
    SimulatedRuns.checkNoOverlaps(workers.values(), now);
  }

  private void listMachines() {
    for (String arrived : machines.arrivalsAt(now)) {
      addWorker(arrived, machines.poolOf(arrived), machines.capacityOf(arrived), List.of());
    }
    if (!machines.isEmpty() && now % MACHINE_LIST_INTERVAL_MILLISECONDS == 0) {
      scheduler.onMachinesListed(machines.list(now), now);
    }
  }

  private void renewAfterEnds(SimulatedWorker worker, List<FinishedTask> ends) {
    if (!ends.isEmpty() && worker.reachable) {
      renewals.renew(worker, scheduler, epoch, now);
    }
  }

  private void execute(SchedulerCommand command) {
    commands.add(command);
    switch (command) {
      case SchedulerCommand.StartTask start -> start(start);
      case SchedulerCommand.StopTask stop -> stop(stop);
      case SchedulerCommand.AcknowledgeFinishedRuns ends ->
          renewals.acknowledge(ends.worker(), ends.number());
      case SchedulerCommand.PaceTask pace -> scheduler.onPaceAnswered(pace, true, now);
      case SchedulerCommand.MoveMachine move -> move(move);
      case SchedulerCommand.MaintainMachine maintenance ->
          scheduler.onMaintenanceAnswered(maintenance, MachineOutcome.DONE, now);
      case SchedulerCommand.ReportWave report -> {}
    }
  }

  private void move(SchedulerCommand.MoveMachine move) {
    boolean accepted = machines.move(move.machine(), move.pool(), now);
    if (accepted) {
      SimulatedWorker ended = workers.remove(move.machine().value());
      scheduler.onWorkerUnlisted(ended.key().id());
    }
    scheduler.onMoveAnswered(move, accepted ? MachineOutcome.DONE : MachineOutcome.BUSY, now);
  }

  /** Returns the worker with the id; commands do not name the incarnation that they are sent to. */
  private Optional<SimulatedWorker> workerOf(WorkerKey key) {
    return workers.values().stream()
        .filter(worker -> worker.key().id().equals(key.id()))
        .findFirst();
  }

  private void start(SchedulerCommand.StartTask start) {
    if (!scheduler.beginStart(start)) {
      return;
    }
    Optional<SimulatedWorker> found = workerOf(start.worker());
    if (found.isEmpty() || !found.get().reachable) {
      scheduler.onLeaseSent(start.worker(), now);
      scheduler.onStartAnswered(start, StartOutcome.UNKNOWN, now, now);
      return;
    }
    SimulatedWorker worker = found.get();
    scheduler.onLeaseSent(start.worker(), now);
    if (worker.restartsBeforeNextStart) {
      worker.restartsBeforeNextStart = false;
      worker.restart(now);
    }
    if (worker.nextStartDelayMilliseconds > 0) {
      delayedStarts.add(
          new DelayedStart(worker, start, epoch, now + worker.nextStartDelayMilliseconds));
      worker.nextStartDelayMilliseconds = 0;
      scheduler.onStartAnswered(start, StartOutcome.UNKNOWN, now, now);
      return;
    }
    StartOutcome outcome = deliverStart(worker, start, epoch);
    if (worker.losesNextStartResponse) {
      worker.losesNextStartResponse = false;
      outcome = StartOutcome.UNKNOWN;
    }
    scheduler.onStartAnswered(start, outcome, now, now);
  }

  private void deliverDelayedStarts() {
    for (DelayedStart delayedStart : List.copyOf(delayedStarts)) {
      if (delayedStart.at() <= now) {
        delayedStarts.remove(delayedStart);
        deliverStart(delayedStart.worker(), delayedStart.start(), delayedStart.token());
      }
    }
  }

  private StartOutcome deliverStart(
      SimulatedWorker worker, SchedulerCommand.StartTask start, long token) {
    SimulatedWorker.Run run =
        new SimulatedWorker.Run(
            start.task(), start.attempt(), durations.getOrDefault(start.task(), 100L));
    StartOutcome outcome = worker.start(start, token, leaseDeadline(worker, start), run);
    if (outcome == StartOutcome.STARTED) {
      runs.onStarted(start.task(), worker.name);
    }
    return outcome;
  }

  private long leaseDeadline(SimulatedWorker worker, SchedulerCommand.StartTask start) {
    return worker.leaseDeadline(start.worker(), settings.leaseMilliseconds(), now);
  }

  private void stop(SchedulerCommand.StopTask stop) {
    Optional<SimulatedWorker> found = workerOf(stop.worker());
    boolean carriedOut =
        found.isPresent() && found.get().reachable && found.get().stop(stop, epoch);
    scheduler.onStopAnswered(stop, carriedOut, now);
  }

  /** Returns the phase of a job. */
  public JobPhase phase(JobId id) {
    return store.jobs().find(id).orElseThrow().phase();
  }

  /** Returns how often a task was started. */
  public int startsOf(TaskId task) {
    return runs.startsOf(task);
  }

  /** Returns the worker on which a task was last started. */
  public String lastWorkerOf(TaskId task) {
    return runs.lastWorkerOf(task);
  }

  /** Returns whether the scheduler renews the lease of a worker. */
  public boolean isRenewed(String name) {
    return scheduler.workersToRenew().stream()
        .anyMatch(report -> report.key().id().value().equals(name));
  }

  /** Returns the number of tasks running on a worker. */
  public int runningCountOn(String name) {
    int count = 0;
    for (SimulatedWorker.Run run : workers.get(name).runs()) {
      count++;
    }
    return count;
  }

  /** Returns the number of running tasks. */
  public int runningCount() {
    int count = 0;
    for (String name : workers.keySet()) {
      count += runningCountOn(name);
    }
    return count;
  }

  /** Returns the number of machines in a pool or moving to it. */
  public int machinesIn(PoolId pool) {
    return machines.countIn(pool);
  }

  /** Returns all commands of the scheduler. */
  public List<SchedulerCommand> commands() {
    return List.copyOf(commands);
  }

  /** Returns the scheduler, for events that the simulation does not create. */
  public Scheduler scheduler() {
    return scheduler;
  }

  /** Returns the virtual time in milliseconds. */
  public long now() {
    return now;
  }
}
