package org.flamingochute.scheduling.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.core.SchedulingFeatures;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.schema.scheduling.QueuedJob;

/**
 * Simulates workers, a store and one scheduler in virtual time.
 *
 * <p>It checks invariants of the runs on the workers: after each step, that no task runs on two
 * workers at once, or on more than two if its step allows copies and they are enabled, and that no
 * team exceeds its cap; and at each start, that the success of the task was not acknowledged
 * before.
 */
public final class SimulatedFleet {
  private static final long STEP_DURATION_MILLISECONDS = 10;
  private static final long RENEWAL_INTERVAL_MILLISECONDS = 100;
  private static final long MACHINE_LIST_INTERVAL_MILLISECONDS = 250;

  private final SchedulerSettings settings;
  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  private final SimulatedMachines machines = new SimulatedMachines();
  private final SimulatedStore store;
  private final SimulatedRuns runs;
  private final SimulatedNetwork network = new SimulatedNetwork();
  private final SimulatedReports reports = new SimulatedReports();
  private final SimulatedTails tails = new SimulatedTails();
  private final SimulatedExecution execution;
  private final List<SchedulerCommand> commandsOfFormerLeaders = new ArrayList<>();

  /** Leaders that have been replaced and have not noticed it. */
  private final List<SimulatedLeader> formerLeaders = new ArrayList<>();

  /** Data centres that operators want to evacuate. */
  private final Set<DataCentreId> evacuated = new LinkedHashSet<>();

  private FleetDeclaration declaration;
  private SimulatedLeader leader;
  private long checkpointMilliseconds;
  private long now = 1_000;
  private long epoch = 1;

  /** Creates a fleet without workers. */
  public SimulatedFleet(FleetDeclaration declaration) {
    this(declaration, SchedulingFeatures.NONE);
  }

  /** Creates a fleet without workers, whose leaders have optional parts. */
  public SimulatedFleet(FleetDeclaration declaration, SchedulingFeatures features) {
    this.declaration = declaration;
    settings =
        SchedulerSettings.builder()
            .maximumLeaseMilliseconds(SimulatedWorker.MAXIMUM_LEASE_MILLISECONDS)
            .features(features)
            .build();
    store = new SimulatedStore(features.compactRecords());
    runs = new SimulatedRuns(store.jobs(), features.speculativeCopies());
    execution = new SimulatedExecution(this, runs, settings.leaseMilliseconds());
    leader = newLeader(PredecessorState.OVER);
  }

  private SimulatedLeader newLeader(PredecessorState predecessor) {
    store.beginEpoch(epoch);
    Scheduler scheduler = new Scheduler(settings, declaration, predecessor, now, now);
    scheduler.onEvacuationsChanged(evacuated);
    SimulatedLeader created =
        new SimulatedLeader(
            scheduler, epoch, network, reports, execution, store, settings.leaseMilliseconds());
    created.tick(now);
    return created;
  }

  /** Applies a new declaration. */
  public void applyDeclaration(FleetDeclaration newestDeclaration) {
    declaration = newestDeclaration;
    scheduler().onDeclarationChanged(newestDeclaration);
  }

  /** Requests the evacuation of a data centre. */
  public void evacuate(DataCentreId dataCentre) {
    evacuated.add(dataCentre);
    runs.onEvacuationRequested(dataCentre, now);
    scheduler().onEvacuationsChanged(evacuated);
  }

  /** Ends the evacuation of a data centre. */
  public void endEvacuation(DataCentreId dataCentre) {
    evacuated.remove(dataCentre);
    runs.onEvacuationEnded(dataCentre);
    scheduler().onEvacuationsChanged(evacuated);
  }

  /** Adds a worker. */
  public void addWorker(String name, PoolId pool, ResourceVector capacity, List<String> labels) {
    addWorker(name, pool, capacity, labels, SimulatedWorker.DEFAULT_DATA_CENTRE);
  }

  /** Adds a worker in a data centre. */
  public void addWorker(
      String name,
      PoolId pool,
      ResourceVector capacity,
      List<String> labels,
      DataCentreId dataCentre) {
    SimulatedWorker worker = new SimulatedWorker(name, pool, capacity, labels, now);
    worker.dataCentre = dataCentre;
    add(worker);
  }

  private void add(SimulatedWorker worker) {
    worker.checkpointMilliseconds = checkpointMilliseconds;
    worker.tails = tails;
    workers.put(worker.name, worker);
    network.connect(worker);
    list(worker);
  }

  /** Replaces a worker, whose process ends, by another one at its address. */
  public void replaceWorker(String name, String successor) {
    SimulatedWorker former = workers.remove(name);
    former.shutDown();
    SimulatedWorker worker =
        new SimulatedWorker(successor, former.pool, former.capacity, former.labels, now);
    worker.address = former.address;
    worker.dataCentre = former.dataCentre;
    add(worker);
  }

  /** Lists a worker that does not run, with the address of another one. */
  public void listForeignWorker(String name, String addressOwner, long startedAt) {
    SimulatedWorker owner = workers.get(addressOwner);
    SimulatedWorker foreign =
        new SimulatedWorker(name, owner.pool, owner.capacity, owner.labels, startedAt);
    foreign.address = owner.address;
    list(foreign);
  }

  void list(SimulatedWorker worker) {
    reports.list(worker.report(), scheduler(), now);
  }

  void unlist(SimulatedWorker worker) {
    unlistWorker(worker.name);
  }

  /** Removes the report of a worker, which may have ended, from the store. */
  public void unlistWorker(String name) {
    reports.unlist(new InstanceId(name), scheduler());
  }

  /** Lists the last report of a worker again, which may have ended. */
  public void listAgain(String name) {
    reports.listAgain(new InstanceId(name), scheduler(), now);
  }

  void restart(SimulatedWorker worker) {
    worker.restart(now);
  }

  Optional<SimulatedWorker> findWorker(InstanceId id) {
    return Optional.ofNullable(workers.get(id.value()));
  }

  boolean isLeading(SimulatedLeader candidate) {
    return candidate == leader;
  }

  /** Adds a machine with a worker of the same name. */
  public void addMachine(String name, PoolId pool, ResourceVector capacity) {
    addMachine(name, pool, capacity, SimulatedWorker.DEFAULT_DATA_CENTRE);
  }

  /** Adds a machine in a data centre, with a worker of the same name. */
  public void addMachine(
      String name, PoolId pool, ResourceVector capacity, DataCentreId dataCentre) {
    machines.add(name, pool, capacity, dataCentre);
    addWorker(name, pool, capacity, List.of(), dataCentre);
  }

  /** Lets the machines service refuse all moves of a machine. */
  public void refuseMovesOf(String machine) {
    machines.refuseMovesOf(machine);
  }

  /** Returns a fault injector for a worker. */
  public WorkerFaultInjector worker(String name) {
    return new WorkerFaultInjector(this, workers.get(name));
  }

  /** Submits a job whose tasks all run for the given time. */
  public void submit(JobId id, QueuedJob job, long taskMilliseconds) {
    for (int step = 0; step < job.getStepsCount(); step++) {
      for (int index = 0; index < job.getSteps(step).getCount(); index++) {
        execution.setDuration(new TaskId(id, 0, step, index), taskMilliseconds);
      }
    }
    runs.onSubmitted(id, job);
    scheduler().onJobStored(store.jobs().define(id, job), now, now);
  }

  /** Multiplies the duration of the first run of a task. */
  public void slowDownFirstRun(TaskId task, long factor) {
    execution.slowDownFirstRun(task, factor);
  }

  /** Lets every run of a job's tasks fail. */
  public void failRunsOf(JobId id) {
    execution.failRunsOf(id);
  }

  /** Cancels a job. */
  public void cancel(JobId id) {
    store.jobs().cancel(id);
    runs.onCancelled(id, now);
    scheduler().onJobCancelled(id, now, now);
  }

  /** Returns the tail latencies that workers report, to change their causes. */
  public SimulatedTails tails() {
    return tails;
  }

  /** Returns the store, to inject faults. */
  public SimulatedStore store() {
    return store;
  }

  /** Returns whether the store has any record of a job. */
  public boolean isStored(JobId id) {
    return store.jobs().find(id).isPresent();
  }

  /** Replaces the leader, which ends, with one that starts from the records in the store. */
  public void replaceLeader(boolean graceful) {
    leader.end();
    takeOver(graceful ? PredecessorState.OVER : PredecessorState.UNKNOWN);
  }

  /** Pauses the leader and replaces it; it goes on when {@link #resumeFormerLeaders} is called. */
  public void replacePausedLeader() {
    leader.setPaused(true);
    formerLeaders.add(leader);
    takeOver(PredecessorState.UNKNOWN);
  }

  /** Cuts the leader off from the store and replaces it; it goes on until a worker refuses it. */
  public void replaceCutLeader() {
    leader.cutFromStore();
    formerLeaders.add(leader);
    takeOver(PredecessorState.UNKNOWN);
  }

  /** Lets all paused leaders that have been replaced go on. */
  public void resumeFormerLeaders() {
    formerLeaders.forEach(former -> former.setPaused(false));
  }

  private void takeOver(PredecessorState predecessor) {
    epoch++;
    commandsOfFormerLeaders.addAll(leader.commands());
    leader = newLeader(predecessor);
    store.commandedMachines(epoch - 1).ifPresent(scheduler()::restoreMachineCommands);
    reports.restore(scheduler(), now);
    for (StoredJob job : List.copyOf(store.jobs().jobs())) {
      scheduler().onJobStored(job, now, now);
    }
  }

  /** Sets the source of the fates of all further calls to workers. */
  public void setCallFates(Supplier<CallFate> fates) {
    network.setFates(fates);
  }

  /** Lets runs on workers that are added later save checkpoints. */
  public void setCheckpointInterval(long milliseconds) {
    checkpointMilliseconds = milliseconds;
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
    formerLeaders.removeIf(SimulatedLeader::hasEnded);
    leaders().forEach(each -> each.tick(now));
    network.advance(now);
    for (SimulatedWorker worker : workers.values()) {
      List<FinishedTask> ends = worker.advance(now, STEP_DURATION_MILLISECONDS);
      ends.forEach(end -> runs.onEnded(worker, end, now));
      if (!ends.isEmpty()) {
        leaders().forEach(each -> each.renewAfterEnds(worker));
      }
    }
    tails.advance(workers.values(), STEP_DURATION_MILLISECONDS);
    if (now % RENEWAL_INTERVAL_MILLISECONDS == 0) {
      leaders().forEach(SimulatedLeader::renewAll);
    }
    listMachines();
    leaders().forEach(SimulatedLeader::step);
    runs.checkRunning(workers.values(), now);
    runs.checkCaps(workers.values(), declaration, now);
  }

  private List<SimulatedLeader> leaders() {
    List<SimulatedLeader> leaders = new ArrayList<>(formerLeaders);
    leaders.add(leader);
    return leaders;
  }

  private void listMachines() {
    for (String arrived : machines.arrivalsAt(now)) {
      addWorker(
          arrived,
          machines.poolOf(arrived),
          machines.capacityOf(arrived),
          List.of(),
          machines.dataCentreOf(arrived));
    }
    if (!machines.isEmpty() && now % MACHINE_LIST_INTERVAL_MILLISECONDS == 0) {
      scheduler().onMachinesListed(machines.list(now), now);
    }
  }

  /** Moves a machine, which ends its worker; returns false if the machine is moving already. */
  boolean move(SchedulerCommand.MoveMachine move, Scheduler scheduler) {
    boolean accepted = machines.move(move.machine(), move.pool(), now);
    if (accepted) {
      SimulatedWorker ended = workers.remove(move.machine().value());
      network.disconnect(ended);
      reports.unlist(ended.key().id(), scheduler);
    }
    return accepted;
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
    return scheduler().workersToRenew().stream()
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

  /** Returns the number of running tasks of a job. */
  public int runningCountOf(JobId id) {
    int count = 0;
    for (SimulatedWorker worker : workers.values()) {
      for (SimulatedWorker.Run run : worker.runs()) {
        count += run.task.job().equals(id) ? 1 : 0;
      }
    }
    return count;
  }

  /** Returns the number of long-running tasks of a job that have completed their startup. */
  public int availableCountOf(JobId id) {
    int count = 0;
    for (SimulatedWorker worker : workers.values()) {
      for (SimulatedWorker.Run run : worker.runs()) {
        count += run.task.job().equals(id) && run.isAvailable() ? 1 : 0;
      }
    }
    return count;
  }

  /** Returns the running tasks, each with its worker. */
  public List<String> runningTasks() {
    List<String> running = new ArrayList<>();
    for (SimulatedWorker worker : workers.values()) {
      worker.runs().forEach(run -> running.add(run.task + " on " + worker.key()));
    }
    return running;
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
    List<SchedulerCommand> commands = new ArrayList<>(commandsOfFormerLeaders);
    commands.addAll(leader.commands());
    return commands;
  }

  /** Returns the scheduler, for events that the simulation does not create. */
  public Scheduler scheduler() {
    return leader.scheduler;
  }

  /** Returns the virtual time in milliseconds. */
  public long now() {
    return now;
  }
}
