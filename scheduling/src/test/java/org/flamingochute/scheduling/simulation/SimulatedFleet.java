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
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;
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
  private static final long MAXIMUM_LEASE_MILLISECONDS = 10_000;
  private static final long MACHINE_LIST_INTERVAL_MILLISECONDS = 250;

  private final SchedulerSettings settings =
      SchedulerSettings.builder().maximumLeaseMilliseconds(MAXIMUM_LEASE_MILLISECONDS).build();
  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  private final SimulatedMachines machines = new SimulatedMachines();
  private final Map<TaskId, Long> durations = new HashMap<>();
  private final Map<WorkerKey, Long> acknowledged = new HashMap<>();
  private final Map<String, WorkerReport> foreignReports = new LinkedHashMap<>();
  private final SimulatedRuns runs = new SimulatedRuns();
  private final List<DelayedStart> delayedStarts = new ArrayList<>();
  private final List<SchedulerCommand> commands = new ArrayList<>();
  private final SimulatedStore store = new SimulatedStore();
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
    foreignReports.put(name, foreign.report());
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
    acknowledged.clear();
    PredecessorState predecessor = graceful ? PredecessorState.OVER : PredecessorState.UNKNOWN;
    scheduler = new Scheduler(settings, declaration, predecessor, now, now);
    for (WorkerReport report : foreignReports.values()) {
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
      workers.values().forEach(this::renew);
      foreignReports.values().forEach(this::renewForeign);
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

  /** The owner of the address answers that it is not the worker that the renewal names. */
  private void renewForeign(WorkerReport report) {
    if (scheduler.workersToRenew().contains(report)) {
      scheduler.onRenewalFailed(report.key(), true, "another worker");
    }
  }

  private void renewAfterEnds(SimulatedWorker worker, List<FinishedTask> ends) {
    if (!ends.isEmpty() && worker.reachable) {
      renew(worker);
    }
  }

  private void renew(SimulatedWorker worker) {
    Optional<WorkerKey> addressee = incarnationKnownToScheduler(worker);
    if (addressee.isEmpty()) {
      return;
    }
    WorkerKey key = addressee.get();
    boolean extending = !scheduler.isUnreachable(key);
    if (extending) {
      scheduler.onLeaseSent(key, now);
    }
    if (!worker.reachable) {
      scheduler.onRenewalFailed(key, false, "no answer");
      return;
    }
    long last = acknowledged.getOrDefault(key, 0L);
    long deadline = extending ? leaseDeadline(worker, key) : 0;
    // Reads the finished runs before the acknowledgement removes them from the worker's list.
    Optional<WorkerStatus> before = worker.renew(epoch, 0, 0);
    before.ifPresent(status -> recordAcknowledged(status, last));
    worker
        .renew(epoch, deadline, last)
        .ifPresent(status -> scheduler.onLeaseRenewed(key, status, now, now, now));
  }

  /** Returns the incarnation of a worker that the scheduler renews, if any; it may have ended. */
  private Optional<WorkerKey> incarnationKnownToScheduler(SimulatedWorker worker) {
    for (WorkerReport report : scheduler.workersToRenew()) {
      if (report.key().id().equals(worker.key().id())) {
        return Optional.of(report.key());
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the end of the lease that a worker derives from a command to the given incarnation. A
   * deadline on the clock of a former incarnation is far in the future of a new one.
   */
  private long leaseDeadline(SimulatedWorker worker, WorkerKey addressee) {
    boolean isSameClock = worker.key().equals(addressee);
    return now + (isSameClock ? settings.leaseMilliseconds() : MAXIMUM_LEASE_MILLISECONDS);
  }

  private void recordAcknowledged(WorkerStatus status, long last) {
    for (FinishedTask end : status.finished()) {
      boolean isAcknowledgedSuccess = end.number() <= last && end.reason() == EndReason.DONE;
      if (isAcknowledgedSuccess && !isLongRunning(end.task())) {
        runs.onAcknowledged(end.task());
      }
    }
  }

  /** Returns whether a task is long-running, so that it is restarted however it ends. */
  private boolean isLongRunning(TaskId task) {
    return store
        .jobs()
        .find(task.job())
        .flatMap(StoredJob::definition)
        .map(job -> job.getSteps(task.step()).getLongRunning())
        .orElse(false);
  }

  private void execute(SchedulerCommand command) {
    commands.add(command);
    switch (command) {
      case SchedulerCommand.StartTask start -> start(start);
      case SchedulerCommand.StopTask stop -> stop(stop);
      case SchedulerCommand.AcknowledgeFinishedRuns ends ->
          acknowledged.merge(ends.worker(), ends.number(), Math::max);
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
    StartOutcome outcome = worker.start(start, token, leaseDeadline(worker, start.worker()), run);
    if (outcome == StartOutcome.STARTED) {
      runs.onStarted(start.task(), worker.name);
    }
    return outcome;
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
