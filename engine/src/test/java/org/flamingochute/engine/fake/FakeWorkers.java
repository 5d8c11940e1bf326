package org.flamingochute.engine.fake;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.WorkerControl;
import org.flamingochute.schema.TaskListing;
import org.flamingochute.schema.TaskPhase;
import org.flamingochute.schema.TaskStart;
import org.flamingochute.schema.TaskStatus;

/** Workers in memory; each runs tasks for a fixed time. */
public final class FakeWorkers {

  private final VirtualTimers clock;
  private final Map<String, Map<String, TaskStatus>> tasks = new HashMap<>();
  private final List<TaskStart> begun = new ArrayList<>();
  private final Set<String> failing = new HashSet<>();
  private final Set<String> refused = new HashSet<>();
  private long runMilliseconds = 1_000;
  private int lostStartReplies;
  private long startDelayMilliseconds;

  /** Creates workers that succeed. */
  public FakeWorkers(VirtualTimers clock) {
    this.clock = clock;
  }

  /** Sets how long a task runs. */
  public void setRunMilliseconds(long value) {
    runMilliseconds = value;
  }

  /** Makes every task on the worker fail. */
  public void fail(String address) {
    failing.add(address);
  }

  /** Loses the replies of the next starts, which take effect. */
  public void loseStartReplies(int count) {
    lostStartReplies = count;
  }

  /** Delays starts on their way to the worker. */
  public void delayStarts(long milliseconds) {
    startDelayMilliseconds = milliseconds;
  }

  /** Returns the tasks that were begun. */
  public List<TaskStart> begun() {
    return begun;
  }

  /** Returns how often a job was begun. */
  public long begun(String job) {
    return begun.stream().filter(start -> start.getJob().equals(job)).count();
  }

  /** Returns the number of tasks that run. */
  public long running() {
    return tasks.values().stream()
        .flatMap(onWorker -> onWorker.values().stream())
        .filter(status -> status.getPhase() == TaskPhase.TASK_RUNNING)
        .count();
  }

  /** Returns the workers as one process reaches them. */
  public WorkerControl control(PausableTimers process) {
    return new Control(process);
  }

  private Map<String, TaskStatus> onWorker(String address) {
    return tasks.computeIfAbsent(address, key -> new LinkedHashMap<>());
  }

  private TaskStatus start(String address, TaskStart start) {
    String name = start.getJob() + "#" + start.getAttempt();
    TaskStatus present = onWorker(address).get(name);
    if (present != null) {
      return present;
    }
    TaskStatus.Builder status =
        TaskStatus.newBuilder().setJob(start.getJob()).setAttempt(start.getAttempt());
    boolean late = clock.wallMilliseconds() > start.getBeginBeforeMilliseconds();
    if (late || refused.contains(address + name)) {
      return status.setPhase(TaskPhase.TASK_NEVER_BEGUN).build();
    }
    begun.add(start);
    TaskStatus running = status.setPhase(TaskPhase.TASK_RUNNING).build();
    onWorker(address).put(name, running);
    TaskPhase end = failing.contains(address) ? TaskPhase.TASK_FAILED : TaskPhase.TASK_SUCCEEDED;
    clock.schedule(Duration.ofMillis(runMilliseconds), () -> end(address, name, end));
    return running;
  }

  private void end(String address, String name, TaskPhase phase) {
    onWorker(address)
        .computeIfPresent(
            name,
            (key, status) ->
                status.getPhase() == TaskPhase.TASK_RUNNING
                    ? status.toBuilder().setPhase(phase).build()
                    : status);
  }

  private TaskStatus status(String address, String job, int attempt) {
    String name = job + "#" + attempt;
    TaskStatus present = onWorker(address).get(name);
    if (present != null) {
      return present;
    }
    refused.add(address + name);
    return TaskStatus.newBuilder()
        .setJob(job)
        .setAttempt(attempt)
        .setPhase(TaskPhase.TASK_NEVER_BEGUN)
        .build();
  }

  private final class Control implements WorkerControl {

    private final PausableTimers process;

    private Control(PausableTimers process) {
      this.process = process;
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskStatus>> start(
        String workerAddress, TaskStart start) {
      if (process.isDead()) {
        return new CompletableFuture<>();
      }
      if (startDelayMilliseconds > 0) {
        return startLate(workerAddress, start);
      }
      TaskStatus status = FakeWorkers.this.start(workerAddress, start);
      if (lostStartReplies > 0) {
        lostStartReplies--;
        return answer(Either.left(new PlatformError.Unknown("reply lost")));
      }
      return answer(Either.right(status));
    }

    private CompletableFuture<Either<PlatformError, TaskStatus>> startLate(
        String workerAddress, TaskStart start) {
      CompletableFuture<Either<PlatformError, TaskStatus>> reply = new CompletableFuture<>();
      clock.schedule(
          Duration.ofMillis(startDelayMilliseconds),
          () -> {
            TaskStatus status = FakeWorkers.this.start(workerAddress, start);
            process.runOrHold(() -> reply.complete(Either.right(status)));
          });
      return reply;
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskStatus>> status(
        String workerAddress, String job, int attempt) {
      return answer(Either.right(FakeWorkers.this.status(workerAddress, job, attempt)));
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskListing>> renew(
        String workerAddress, long leaseMilliseconds) {
      TaskListing listing =
          TaskListing.newBuilder().addAllTasks(onWorker(workerAddress).values()).build();
      return answer(Either.right(listing));
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskStatus>> stop(
        String workerAddress, String job, int attempt) {
      end(workerAddress, job + "#" + attempt, TaskPhase.TASK_STOPPED);
      return answer(Either.right(FakeWorkers.this.status(workerAddress, job, attempt)));
    }

    private <T> CompletableFuture<Either<PlatformError, T>> answer(Either<PlatformError, T> value) {
      CompletableFuture<Either<PlatformError, T>> reply = new CompletableFuture<>();
      clock.schedule(Duration.ofMillis(1), () -> process.runOrHold(() -> reply.complete(value)));
      return reply;
    }
  }
}
