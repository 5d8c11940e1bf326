package org.flamingochute.testsuite.simulation;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.WorkerControl;
import org.flamingochute.schema.TaskListing;
import org.flamingochute.schema.TaskPhase;
import org.flamingochute.schema.TaskStart;
import org.flamingochute.schema.TaskStatus;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservationJournal;

/** Simulates the workers, which run tasks under leases. */
public final class SimulatedWorkers {

  /** Tasks whose tag has this prefix fail on every worker. */
  public static final String ALWAYS_FAILING_PREFIX = "hopeless";

  private static final long TIMEOUT_MILLISECONDS = 2_000;
  private static final long FAILURE_DELAY_MILLISECONDS = 20;

  private final VirtualClock clock;
  private final NetworkConditions network;
  private final SimulatedPlatform platform;
  private final ObservationJournal journal;
  private final Map<String, WorkerBehaviour> behaviours = new HashMap<>();
  private final Map<String, Map<AttemptId, Task>> tasks = new HashMap<>();

  private record AttemptId(String job, int attempt) {}

  private static final class Task {
    final AttemptId id;
    final WorkSpecification work;
    TaskPhase phase;
    long leaseEndMilliseconds;
    long startMilliseconds;

    Task(AttemptId id, WorkSpecification work, TaskPhase phase) {
      this.id = id;
      this.work = work;
      this.phase = phase;
    }
  }

  /** Creates workers for the worker instances of a platform. */
  public SimulatedWorkers(
      VirtualClock clock,
      NetworkConditions network,
      SimulatedPlatform platform,
      ObservationJournal journal) {
    this.clock = clock;
    this.network = network;
    this.platform = platform;
    this.journal = journal;
  }

  /** Sets how a worker runs the tasks that start from now on. */
  public void setBehaviour(String worker, WorkerBehaviour behaviour) {
    behaviours.put(worker, behaviour);
  }

  /**
   * Terminates all tasks on a worker, as a reboot or loss does. The worker retains their status.
   *
   * @param planned whether to record the tasks as interrupted by a planned stop
   */
  public void terminateAll(String worker, boolean planned) {
    for (Task task : tasksOf(worker).values()) {
      if (task.phase != TaskPhase.TASK_RUNNING) {
        continue;
      }
      if (planned) {
        journal.add(
            new Observation.WorkInterruptedByPlannedStop(
                clock.nowMilliseconds(), worker, task.work.tag()));
      }
      finish(worker, task, TaskPhase.TASK_STOPPED);
    }
  }

  private Map<AttemptId, Task> tasksOf(String worker) {
    return tasks.computeIfAbsent(worker, name -> new LinkedHashMap<>());
  }

  /** Returns the worker control client of a process. */
  public WorkerControl clientFor(SimulatedProcess process) {
    return new ProcessWorkerControl(process);
  }

  private TaskStatus start(String worker, TaskStart start) {
    AttemptId id = new AttemptId(start.getJob(), start.getAttempt());
    Task existing = tasksOf(worker).get(id);
    if (existing != null) {
      return statusOf(existing);
    }
    if (clock.wallMilliseconds() > start.getBeginBeforeMilliseconds()) {
      return recordNeverBegun(worker, id);
    }
    Task task =
        new Task(
            id, WorkSpecification.parse(start.getPayload().toByteArray()), TaskPhase.TASK_RUNNING);
    task.startMilliseconds = clock.nowMilliseconds();
    tasksOf(worker).put(id, task);
    journal.add(
        new Observation.TaskStarted(
            clock.nowMilliseconds(),
            worker,
            id.job(),
            id.attempt(),
            task.work.tag(),
            task.work.team()));
    grantLease(worker, task, start.getLeaseMilliseconds());
    scheduleEnd(worker, task);
    return statusOf(task);
  }

  private void scheduleEnd(String worker, Task task) {
    boolean fails =
        behaviours.getOrDefault(worker, WorkerBehaviour.HEALTHY) == WorkerBehaviour.FAILING
            || task.work.tag().startsWith(ALWAYS_FAILING_PREFIX);
    long runMilliseconds = fails ? FAILURE_DELAY_MILLISECONDS : task.work.runMilliseconds();
    TaskPhase finalPhase = fails ? TaskPhase.TASK_FAILED : TaskPhase.TASK_SUCCEEDED;
    clock.runAfter(runMilliseconds, () -> finish(worker, task, finalPhase));
  }

  private void grantLease(String worker, Task task, long leaseMilliseconds) {
    task.leaseEndMilliseconds = clock.nowMilliseconds() + leaseMilliseconds;
    clock.runAfter(leaseMilliseconds + 1, () -> stopIfLeaseExpired(worker, task));
  }

  private void stopIfLeaseExpired(String worker, Task task) {
    if (clock.nowMilliseconds() > task.leaseEndMilliseconds) {
      finish(worker, task, TaskPhase.TASK_STOPPED);
    }
  }

  private void finish(String worker, Task task, TaskPhase phase) {
    if (task.phase != TaskPhase.TASK_RUNNING) {
      return;
    }
    task.phase = phase;
    journal.add(
        new Observation.TaskEnded(
            clock.nowMilliseconds(),
            worker,
            task.id.job(),
            task.id.attempt(),
            task.work.tag(),
            task.work.team()));
  }

  private TaskStatus recordNeverBegun(String worker, AttemptId id) {
    Task task = new Task(id, new WorkSpecification("none", "none", 0), TaskPhase.TASK_NEVER_BEGUN);
    tasksOf(worker).put(id, task);
    return statusOf(task);
  }

  private TaskStatus statusOf(Task task) {
    return TaskStatus.newBuilder()
        .setJob(task.id.job())
        .setAttempt(task.id.attempt())
        .setPhase(task.phase)
        .setRunMilliseconds(clock.nowMilliseconds() - task.startMilliseconds)
        .build();
  }

  private TaskStatus status(String worker, String job, int attempt) {
    AttemptId id = new AttemptId(job, attempt);
    Task task = tasksOf(worker).get(id);
    return task == null ? recordNeverBegun(worker, id) : statusOf(task);
  }

  private TaskListing renew(String worker, long leaseMilliseconds) {
    TaskListing.Builder listing = TaskListing.newBuilder();
    for (Task task : tasksOf(worker).values()) {
      if (task.phase == TaskPhase.TASK_RUNNING) {
        grantLease(worker, task, leaseMilliseconds);
      }
      listing.addTasks(statusOf(task));
    }
    return listing.build();
  }

  private TaskStatus stop(String worker, String job, int attempt) {
    Task task = tasksOf(worker).get(new AttemptId(job, attempt));
    if (task != null) {
      finish(worker, task, TaskPhase.TASK_STOPPED);
    }
    return status(worker, job, attempt);
  }

  private final class ProcessWorkerControl implements WorkerControl {

    private final SimulatedProcess process;

    ProcessWorkerControl(SimulatedProcess process) {
      this.process = process;
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskStatus>> start(
        String workerAddress, TaskStart start) {
      return call(workerAddress, () -> SimulatedWorkers.this.start(workerAddress, start));
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskStatus>> status(
        String workerAddress, String job, int attempt) {
      return call(workerAddress, () -> SimulatedWorkers.this.status(workerAddress, job, attempt));
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskListing>> renew(
        String workerAddress, long leaseMilliseconds) {
      return call(
          workerAddress, () -> SimulatedWorkers.this.renew(workerAddress, leaseMilliseconds));
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskStatus>> stop(
        String workerAddress, String job, int attempt) {
      return call(workerAddress, () -> SimulatedWorkers.this.stop(workerAddress, job, attempt));
    }

    private <T> CompletableFuture<Either<PlatformError, T>> call(
        String worker, Supplier<T> operation) {
      CompletableFuture<Either<PlatformError, T>> result = new CompletableFuture<>();
      process.runAfter(
          TIMEOUT_MILLISECONDS,
          () -> result.complete(Either.left(new PlatformError.Unknown("worker timed out"))));
      if (network.isConnected(process.name(), worker)) {
        long latency = network.latencyMilliseconds(process.name(), worker);
        clock.runAfter(latency, () -> receiveCall(worker, operation, result));
      }
      return result;
    }

    private <T> void receiveCall(
        String worker, Supplier<T> operation, CompletableFuture<Either<PlatformError, T>> result) {
      Optional<SimulatedInstance> instance = platform.instance(worker);
      if (instance.isEmpty() || !instance.get().isReachable()) {
        return;
      }
      T value = operation.get();
      if (network.isConnected(worker, process.name())) {
        long latency = network.latencyMilliseconds(worker, process.name());
        process.runAfter(latency, () -> result.complete(Either.right(value)));
      }
    }
  }
}
