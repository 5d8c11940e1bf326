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
 * A worker that runs tasks under leases.
 *
 * <p>A task is named by its job and attempt and begins at most once. The worker that was asked
 * about an attempt before it was started answers that it never began it and refuses it from then
 * on; so the answer stays true when the start arrives late. A task whose lease ends is stopped.
 *
 * <p>What a task takes is told by its {@link TaskPlan}, whatever was declared. A task that does not
 * fit the memory that is left fails; tasks that take more processors than there are run slower in
 * proportion. Example: on 4 processors, a task of 8 processors and 100 ms runs for 200 ms.
 */
public final class StandInWorker {

  /** Time for which a task that ended is still listed, in milliseconds. */
  public static final long ENDED_LISTED_MILLISECONDS = 60_000;

  private final String instance;
  private final ResourceAmount capacity;
  private final Timers timers;
  private final EndpointRecorder recorder;
  private final EndpointFaults faults;
  private final Map<TaskKey, Task> tasks = new LinkedHashMap<>();
  private boolean poweredOn = true;

  private record TaskKey(String job, int attempt) {}

  /** One attempt, or the mark that it never began. */
  private static final class Task {
    private final TaskKey key;
    private final TaskPlan plan;
    private final long beganMilliseconds;
    private TaskPhase phase;
    private String detail = "";
    private long endedMilliseconds;
    private long leaseEndMilliseconds;

    private Task(TaskKey key, TaskPlan plan, TaskPhase phase, long now) {
      this.key = key;
      this.plan = plan;
      this.phase = phase;
      this.beganMilliseconds = now;
    }
  }

  /**
   * Creates a worker that is powered on.
   *
   * @param instance name of the instance
   * @param capacity what the worker has
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

  /** Starts a task, or reports on it when it was started before. */
  public synchronized Either<PlatformError, TaskStatus> start(TaskStart start) {
    if (!poweredOn) {
      return poweredDown();
    }
    TaskKey key = new TaskKey(start.getJob(), start.getAttempt());
    Task known = tasks.get(key);
    if (known != null) {
      return Either.right(statusOf(known));
    }
    if (timers.wallMilliseconds() > start.getBeginBeforeMilliseconds()) {
      return Either.right(neverBegun(key, "the time to begin has passed"));
    }
    Optional<EndpointFaultKind> fault = faults.nextOfWorker(instance).map(next -> next.getKind());
    if (fault.equals(Optional.of(EndpointFaultKind.WORKER_CANNOT_RUN))) {
      return Either.right(neverBegun(key, "worker " + instance + " can begin no task"));
    }
    return Either.right(begin(key, start, fault.isPresent()));
  }

  private TaskStatus begin(TaskKey key, TaskStart start, boolean failing) {
    TaskPlan plan = planOf(start);
    final boolean fits = fitsMemory(plan);
    Task task = new Task(key, plan, TaskPhase.TASK_RUNNING, timers.monotonicMilliseconds());
    tasks.put(key, task);
    recorder.taskBegun(key.job(), plan.getTag(), plan.getTeam());
    if (failing) {
      end(task, TaskPhase.TASK_FAILED, "worker " + instance + " fails each task");
      return statusOf(task);
    }
    if (!fits) {
      end(task, TaskPhase.TASK_FAILED, "out of memory");
      return statusOf(task);
    }
    task.leaseEndMilliseconds = timers.monotonicMilliseconds() + start.getLeaseMilliseconds();
    scheduleLeaseCheck(task);
    timers.schedule(Duration.ofMillis(runMilliseconds(plan)), () -> finish(task));
    return statusOf(task);
  }

  private static TaskPlan planOf(TaskStart start) {
    try {
      return TaskPlan.parseFrom(start.getPayload());
    } catch (InvalidProtocolBufferException e) {
      return TaskPlan.newBuilder().setNeverSucceeds(true).build();
    }
  }

  private boolean fitsMemory(TaskPlan plan) {
    long taken = plan.getPeak().getMemoryMebibytes();
    for (Task task : tasks.values()) {
      if (task.phase == TaskPhase.TASK_RUNNING) {
        taken += task.plan.getPeak().getMemoryMebibytes();
      }
    }
    return taken <= capacity.getMemoryMebibytes();
  }

  private long runMilliseconds(TaskPlan plan) {
    long taken = 0;
    for (Task task : tasks.values()) {
      if (task.phase == TaskPhase.TASK_RUNNING) {
        taken += task.plan.getPeak().getProcessorMillicores();
      }
    }
    long available = Math.max(1, capacity.getProcessorMillicores());
    return plan.getRunMilliseconds() * Math.max(available, taken) / available;
  }

  private synchronized void finish(Task task) {
    if (task.plan.getNeverSucceeds()) {
      end(task, TaskPhase.TASK_FAILED, "the task can not succeed");
      return;
    }
    end(task, TaskPhase.TASK_SUCCEEDED, "");
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
    end(task, TaskPhase.TASK_STOPPED, "the lease ended");
  }

  private void end(Task task, TaskPhase phase, String detail) {
    if (task.phase != TaskPhase.TASK_RUNNING) {
      return;
    }
    task.phase = phase;
    task.detail = detail;
    task.endedMilliseconds = timers.monotonicMilliseconds();
    boolean succeeded = phase == TaskPhase.TASK_SUCCEEDED;
    recorder.taskEnded(task.key.job(), task.plan.getTeam(), succeeded);
  }

  /** Reports on an attempt; one that was never begun is refused from now on. */
  public synchronized Either<PlatformError, TaskStatus> status(String job, int attempt) {
    if (!poweredOn) {
      return poweredDown();
    }
    TaskKey key = new TaskKey(job, attempt);
    Task task = tasks.get(key);
    if (task == null) {
      return Either.right(neverBegun(key, "not known"));
    }
    return Either.right(statusOf(task));
  }

  /** Renews the leases of all tasks and lists those that run or ended lately. */
  public synchronized Either<PlatformError, TaskListing> renew(long leaseMilliseconds) {
    if (!poweredOn) {
      return Either.left(new PlatformError.Refused("worker " + instance + " is powered down"));
    }
    TaskListing.Builder listing = TaskListing.newBuilder();
    long leaseEnd = timers.monotonicMilliseconds() + leaseMilliseconds;
    for (Task task : tasks.values()) {
      if (task.phase == TaskPhase.TASK_NEVER_BEGUN || endedLongAgo(task)) {
        continue;
      }
      task.leaseEndMilliseconds = leaseEnd;
      listing.addTasks(statusOf(task));
    }
    return Either.right(listing.build());
  }

  private boolean endedLongAgo(Task task) {
    long oldest = timers.monotonicMilliseconds() - ENDED_LISTED_MILLISECONDS;
    return task.phase != TaskPhase.TASK_RUNNING && task.endedMilliseconds < oldest;
  }

  /** Stops a task; one that was never begun is refused from now on. */
  public synchronized Either<PlatformError, TaskStatus> stop(String job, int attempt) {
    if (!poweredOn) {
      return poweredDown();
    }
    TaskKey key = new TaskKey(job, attempt);
    Task task = tasks.get(key);
    if (task == null) {
      return Either.right(neverBegun(key, "stopped before it began"));
    }
    end(task, TaskPhase.TASK_STOPPED, "stopped on request");
    return Either.right(statusOf(task));
  }

  /** Powers the worker up or down. Powering down stops all tasks; what ended stays known. */
  public synchronized void setPower(boolean on) {
    poweredOn = on;
    if (on) {
      return;
    }
    for (Task task : tasks.values()) {
      if (task.phase == TaskPhase.TASK_RUNNING) {
        recorder.cutByPowerDown();
        end(task, TaskPhase.TASK_STOPPED, "powered down");
      }
    }
  }

  private TaskStatus neverBegun(TaskKey key, String detail) {
    long now = timers.monotonicMilliseconds();
    Task task = new Task(key, TaskPlan.getDefaultInstance(), TaskPhase.TASK_NEVER_BEGUN, now);
    task.detail = detail;
    task.endedMilliseconds = now;
    tasks.put(key, task);
    return statusOf(task);
  }

  private Either<PlatformError, TaskStatus> poweredDown() {
    return Either.left(new PlatformError.Refused("worker " + instance + " is powered down"));
  }

  private TaskStatus statusOf(Task task) {
    boolean running = task.phase == TaskPhase.TASK_RUNNING;
    long end = running ? timers.monotonicMilliseconds() : task.endedMilliseconds;
    return TaskStatus.newBuilder()
        .setJob(task.key.job())
        .setAttempt(task.key.attempt())
        .setPhase(task.phase)
        .setDetail(task.detail)
        .setObservedPeak(task.plan.getPeak())
        .setRunMilliseconds(end - task.beganMilliseconds)
        .build();
  }
}
