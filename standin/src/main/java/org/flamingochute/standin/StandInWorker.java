package org.flamingochute.standin;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.EndpointFaultKind;
import org.flamingochute.schema.ResourceAmount;
import org.flamingochute.schema.TaskListing;
import org.flamingochute.schema.TaskPhase;
import org.flamingochute.schema.TaskPlan;
import org.flamingochute.schema.TaskStart;
import org.flamingochute.schema.TaskStatus;

/**
 * A stand-in worker that runs tasks under leases.
 *
 * <p>A task is identified by its job and attempt and starts at most once. If the status of an
 * attempt is requested before its start, the worker reports it as never begun and refuses to start
 * it later, so that the report stays correct if the start request arrives late. A task whose lease
 * expires is stopped.
 *
 * <p>The resource usage of a task is that of its {@link TaskPlan}, regardless of the declared
 * amounts. A task that does not fit into the free memory fails. If the running tasks use more
 * processors than the capacity, a new task runs proportionally slower. Example: on 4 processors, a
 * task of 8 processors and 100 ms runs for 200 ms.
 */
public final class StandInWorker {

  /** Time in milliseconds for which a task that ended is still listed. */
  public static final long ENDED_TASK_RETENTION_MILLISECONDS = 60_000;

  private final String instance;
  private final ResourceAmount capacity;
  private final Timers timers;
  private final EndpointRecorder recorder;
  private final EndpointFaults faults;
  private final Map<TaskKey, Task> tasks = new LinkedHashMap<>();
  private boolean poweredOn = true;

  private record TaskKey(String job, int attempt) {}

  /** An attempt, which may be recorded as never begun. */
  private static final class Task {
    private final TaskKey key;
    private final TaskPlan plan;
    private final long startedMilliseconds;
    private TaskPhase phase;
    private String detail = "";
    private long endedMilliseconds;
    private long leaseEndMilliseconds;

    private Task(TaskKey key, TaskPlan plan, TaskPhase phase, long now) {
      this.key = key;
      this.plan = plan;
      this.phase = phase;
      this.startedMilliseconds = now;
    }
  }

  /**
   * Creates a worker that is powered on.
   *
   * @param instance name of the instance
   * @param capacity processors and memory of the worker
   */
  public StandInWorker(
      String instance,
      ResourceAmount capacity,
      Timers timers,
      EndpointRecorder recorder,
      EndpointFaults faults) {
    this.instance = instance;
    this.capacity = capacity;
    this.timers = timers;
    this.recorder = recorder;
    this.faults = faults;
  }

  /**
   * Starts a task, or returns its status if the attempt is already known. An attempt is recorded as
   * never begun if its start deadline has passed or the worker simulates that it cannot run tasks.
   */
  public synchronized Either<PlatformError, TaskStatus> start(TaskStart start) {
    if (!poweredOn) {
      return poweredDownError();
    }
    TaskKey key = new TaskKey(start.getJob(), start.getAttempt());
    Task existing = tasks.get(key);
    if (existing != null) {
      return Either.right(toStatus(existing));
    }
    if (timers.wallMilliseconds() > start.getBeginBeforeMilliseconds()) {
      return Either.right(recordNeverBegun(key, "the start deadline has passed"));
    }
    Optional<EndpointFaultKind> fault =
        faults.takeWorkerFault(instance).map(next -> next.getKind());
    if (fault.equals(Optional.of(EndpointFaultKind.WORKER_CANNOT_RUN))) {
      return Either.right(recordNeverBegun(key, "worker " + instance + " cannot start tasks"));
    }
    return Either.right(startTask(key, start, fault.isPresent()));
  }

  private TaskStatus startTask(TaskKey key, TaskStart start, boolean shouldFail) {
    TaskPlan plan = parsePlan(start);
    final boolean fitsMemory = hasMemoryFor(plan);
    Task task = new Task(key, plan, TaskPhase.TASK_RUNNING, timers.monotonicMilliseconds());
    tasks.put(key, task);
    recorder.recordTaskStart(key.job(), plan.getTag(), plan.getTeam());
    if (shouldFail) {
      endTask(task, TaskPhase.TASK_FAILED, "worker " + instance + " fails all tasks");
      return toStatus(task);
    }
    if (!fitsMemory) {
      endTask(task, TaskPhase.TASK_FAILED, "out of memory");
      return toStatus(task);
    }
    task.leaseEndMilliseconds = timers.monotonicMilliseconds() + start.getLeaseMilliseconds();
    scheduleLeaseCheck(task);
    timers.schedule(Duration.ofMillis(scaledRunMilliseconds(plan)), () -> finishTask(task));
    return toStatus(task);
  }

  private static TaskPlan parsePlan(TaskStart start) {
    try {
      return TaskPlan.parseFrom(start.getPayload());
    } catch (InvalidProtocolBufferException e) {
      return TaskPlan.newBuilder().setNeverSucceeds(true).build();
    }
  }

  private boolean hasMemoryFor(TaskPlan plan) {
    long usedMebibytes = plan.getPeak().getMemoryMebibytes();
    for (Task task : tasks.values()) {
      if (task.phase == TaskPhase.TASK_RUNNING) {
        usedMebibytes += task.plan.getPeak().getMemoryMebibytes();
      }
    }
    return usedMebibytes <= capacity.getMemoryMebibytes();
  }

  private long scaledRunMilliseconds(TaskPlan plan) {
    long usedMillicores = 0;
    for (Task task : tasks.values()) {
      if (task.phase == TaskPhase.TASK_RUNNING) {
        usedMillicores += task.plan.getPeak().getProcessorMillicores();
      }
    }
    long availableMillicores = Math.max(1, capacity.getProcessorMillicores());
    return plan.getRunMilliseconds()
        * Math.max(availableMillicores, usedMillicores)
        / availableMillicores;
  }

  private synchronized void finishTask(Task task) {
    if (task.plan.getNeverSucceeds()) {
      endTask(task, TaskPhase.TASK_FAILED, "the task cannot succeed");
      return;
    }
    endTask(task, TaskPhase.TASK_SUCCEEDED, "");
  }

  private void scheduleLeaseCheck(Task task) {
    long delay = task.leaseEndMilliseconds - timers.monotonicMilliseconds();
    timers.schedule(Duration.ofMillis(Math.max(1, delay)), () -> checkLease(task));
  }

  private synchronized void checkLease(Task task) {
    if (task.phase != TaskPhase.TASK_RUNNING) {
      return;
    }
    if (timers.monotonicMilliseconds() < task.leaseEndMilliseconds) {
      scheduleLeaseCheck(task);
      return;
    }
    endTask(task, TaskPhase.TASK_STOPPED, "the lease expired");
  }

  private void endTask(Task task, TaskPhase phase, String detail) {
    if (task.phase != TaskPhase.TASK_RUNNING) {
      return;
    }
    task.phase = phase;
    task.detail = detail;
    task.endedMilliseconds = timers.monotonicMilliseconds();
    boolean succeeded = phase == TaskPhase.TASK_SUCCEEDED;
    recorder.recordTaskEnd(task.key.job(), task.plan.getTeam(), succeeded);
  }

  /** Returns the status of an attempt; an unknown attempt cannot be started afterwards. */
  public synchronized Either<PlatformError, TaskStatus> status(String job, int attempt) {
    if (!poweredOn) {
      return poweredDownError();
    }
    TaskKey key = new TaskKey(job, attempt);
    Task task = tasks.get(key);
    if (task == null) {
      return Either.right(recordNeverBegun(key, "unknown attempt"));
    }
    return Either.right(toStatus(task));
  }

  /** Renews the leases of all tasks and lists the running and recently ended ones. */
  public synchronized Either<PlatformError, TaskListing> renew(long leaseMilliseconds) {
    if (!poweredOn) {
      return Either.left(new PlatformError.Refused("worker " + instance + " is powered down"));
    }
    TaskListing.Builder listing = TaskListing.newBuilder();
    long leaseEnd = timers.monotonicMilliseconds() + leaseMilliseconds;
    for (Task task : tasks.values()) {
      if (task.phase == TaskPhase.TASK_NEVER_BEGUN || isRetentionExpired(task)) {
        continue;
      }
      task.leaseEndMilliseconds = leaseEnd;
      listing.addTasks(toStatus(task));
    }
    return Either.right(listing.build());
  }

  private boolean isRetentionExpired(Task task) {
    long oldest = timers.monotonicMilliseconds() - ENDED_TASK_RETENTION_MILLISECONDS;
    return task.phase != TaskPhase.TASK_RUNNING && task.endedMilliseconds < oldest;
  }

  /** Stops a task; an unknown attempt cannot be started afterwards. */
  public synchronized Either<PlatformError, TaskStatus> stop(String job, int attempt) {
    if (!poweredOn) {
      return poweredDownError();
    }
    TaskKey key = new TaskKey(job, attempt);
    Task task = tasks.get(key);
    if (task == null) {
      return Either.right(recordNeverBegun(key, "stopped before its start"));
    }
    endTask(task, TaskPhase.TASK_STOPPED, "stopped on request");
    return Either.right(toStatus(task));
  }

  /** Powers the worker up or down. Powering down stops all tasks but keeps their status. */
  public synchronized void setPower(boolean on) {
    poweredOn = on;
    if (on) {
      return;
    }
    for (Task task : tasks.values()) {
      if (task.phase == TaskPhase.TASK_RUNNING) {
        recorder.recordCutByPowerDown();
        endTask(task, TaskPhase.TASK_STOPPED, "powered down");
      }
    }
  }

  private TaskStatus recordNeverBegun(TaskKey key, String detail) {
    long now = timers.monotonicMilliseconds();
    Task task = new Task(key, TaskPlan.getDefaultInstance(), TaskPhase.TASK_NEVER_BEGUN, now);
    task.detail = detail;
    task.endedMilliseconds = now;
    tasks.put(key, task);
    return toStatus(task);
  }

  private Either<PlatformError, TaskStatus> poweredDownError() {
    return Either.left(new PlatformError.Refused("worker " + instance + " is powered down"));
  }

  private TaskStatus toStatus(Task task) {
    boolean running = task.phase == TaskPhase.TASK_RUNNING;
    long end = running ? timers.monotonicMilliseconds() : task.endedMilliseconds;
    return TaskStatus.newBuilder()
        .setJob(task.key.job())
        .setAttempt(task.key.attempt())
        .setPhase(task.phase)
        .setDetail(task.detail)
        .setObservedPeak(task.plan.getPeak())
        .setRunMilliseconds(end - task.startedMilliseconds)
        .build();
  }
}
