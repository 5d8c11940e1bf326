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
  public static final String HOPELESS_PREFIX = "hopeless";

  private static final long TIMEOUT_MILLISECONDS = 2_000;
  private static final long FAILURE_MILLISECONDS = 20;

  private final VirtualClock clock;
  private final NetworkConditions network;
  private final SimulatedPlatform platform;
  private final ObservationJournal journal;
  private final Map<String, WorkerBehaviour> behaviours = new HashMap<>();
  private final Map<String, Map<AttemptName, Task>> tasks = new HashMap<>();

  private record AttemptName(String job, int attempt) {}

  private static final class Task {
    final AttemptName name;
    final WorkText work;
    TaskPhase phase;
    long leaseEndMilliseconds;
    long beganMilliseconds;

    Task(AttemptName name, WorkText work, TaskPhase phase) {
      this.name = name;
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
   * Terminates all tasks on a worker, as a reboot or loss does. The worker keeps their status.
   *
   * @param planned whether to record the tasks as interrupted by a planned stop
   */
  public void cutAll(String worker, boolean planned) {
    for (Task task : tasksOf(worker).values()) {
      if (task.phase != TaskPhase.TASK_RUNNING) {
        continue;
      }
      if (planned) {
        journal.add(
            new Observation.WorkCutByPlannedStop(clock.nowMilliseconds(), worker, task.work.tag()));
      }
      finish(worker, task, TaskPhase.TASK_STOPPED);
    }
  }

  private Map<AttemptName, Task> tasksOf(String worker) {
    return tasks.computeIfAbsent(worker, name -> new LinkedHashMap<>());
  }

  /** Returns the worker control client of a process. */
  public WorkerControl reachedBy(SimulatedProcess process) {
    return new ProcessWorkerControl(process);
  }

  private TaskStatus start(String worker, TaskStart start) {
    AttemptName name = new AttemptName(start.getJob(), start.getAttempt());
    Task known = tasksOf(worker).get(name);
    if (known != null) {
      return statusOf(known);
    }
    if (clock.wallMilliseconds() > start.getBeginBeforeMilliseconds()) {
      return neverBegun(worker, name);
    }
    Task task =
        new Task(name, WorkText.parse(start.getPayload().toByteArray()), TaskPhase.TASK_RUNNING);
    task.beganMilliseconds = clock.nowMilliseconds();
    tasksOf(worker).put(name, task);
    journal.add(
        new Observation.TaskBegan(
            clock.nowMilliseconds(),
            worker,
            name.job(),
            name.attempt(),
            task.work.tag(),
            task.work.team()));
    grantLease(worker, task, start.getLeaseMilliseconds());
    scheduleEnd(worker, task);
    return statusOf(task);
  }

  private void scheduleEnd(String worker, Task task) {
    boolean fails =
        behaviours.getOrDefault(worker, WorkerBehaviour.HEALTHY) == WorkerBehaviour.FAILING
            || task.work.tag().startsWith(HOPELESS_PREFIX);
    long run = fails ? FAILURE_MILLISECONDS : task.work.runMilliseconds();
    TaskPhase end = fails ? TaskPhase.TASK_FAILED : TaskPhase.TASK_SUCCEEDED;
    clock.after(run, () -> finish(worker, task, end));
  }

  private void grantLease(String worker, Task task, long leaseMilliseconds) {
    task.leaseEndMilliseconds = clock.nowMilliseconds() + leaseMilliseconds;
    clock.after(leaseMilliseconds + 1, () -> endLapsedLease(worker, task));
  }

  private void endLapsedLease(String worker, Task task) {
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
            task.name.job(),
            task.name.attempt(),
            task.work.tag(),
            task.work.team()));
  }

  private TaskStatus neverBegun(String worker, AttemptName name) {
    Task task = new Task(name, new WorkText("none", "none", 0), TaskPhase.TASK_NEVER_BEGUN);
    tasksOf(worker).put(name, task);
    return statusOf(task);
  }

  private TaskStatus statusOf(Task task) {
    return TaskStatus.newBuilder()
        .setJob(task.name.job())
        .setAttempt(task.name.attempt())
        .setPhase(task.phase)
        .setRunMilliseconds(clock.nowMilliseconds() - task.beganMilliseconds)
        .build();
  }

  private TaskStatus status(String worker, String job, int attempt) {
    AttemptName name = new AttemptName(job, attempt);
    Task task = tasksOf(worker).get(name);
    return task == null ? neverBegun(worker, name) : statusOf(task);
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
    Task task = tasksOf(worker).get(new AttemptName(job, attempt));
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
        String worker, Supplier<T> effect) {
      CompletableFuture<Either<PlatformError, T>> result = new CompletableFuture<>();
      process.runAfter(
          TIMEOUT_MILLISECONDS,
          () -> result.complete(Either.left(new PlatformError.Unknown("worker timed out"))));
      if (network.passes(process.name(), worker)) {
        long latency = network.latencyMilliseconds(process.name(), worker);
        clock.after(latency, () -> arrive(worker, effect, result));
      }
      return result;
    }

    private <T> void arrive(
        String worker, Supplier<T> effect, CompletableFuture<Either<PlatformError, T>> result) {
      Optional<SimulatedInstance> instance = platform.instance(worker);
      if (instance.isEmpty() || !instance.get().isReachable()) {
        return;
      }
      T value = effect.get();
      if (network.passes(worker, process.name())) {
        long latency = network.latencyMilliseconds(worker, process.name());
        process.runAfter(latency, () -> result.complete(Either.right(value)));
      }
    }
  }
}
