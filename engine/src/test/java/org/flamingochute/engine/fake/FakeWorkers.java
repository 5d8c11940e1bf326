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

/** In-memory workers that run each task for a fixed time. */
public final class FakeWorkers {

  private final VirtualTimers clock;
  private final Map<String, Map<String, TaskStatus>> tasks = new HashMap<>();
  private final List<TaskStart> executions = new ArrayList<>();
  private final Set<String> failingWorkers = new HashSet<>();
  private final Set<String> refusedAttempts = new HashSet<>();
  private long runMilliseconds = 1_000;
  private int lostStartReplies;
  private long startDelayMilliseconds;

  /** Creates workers whose tasks succeed. */
  public FakeWorkers(VirtualTimers clock) {
    this.clock = clock;
  }

  /** Sets the duration of tasks. */
  public void setRunMilliseconds(long value) {
    runMilliseconds = value;
  }

  /** Makes every task that starts on the worker from now on fail. */
  public void fail(String address) {
    failingWorkers.add(address);
  }

  /** Loses the replies to the next starts, which take effect. */
  public void loseStartReplies(int count) {
    lostStartReplies = count;
  }

  /** Delays starts in transit to the worker. */
  public void delayStarts(long milliseconds) {
    startDelayMilliseconds = milliseconds;
  }

  /** Returns the starts of all tasks that were begun. */
  public List<TaskStart> executions() {
    return executions;
  }

  /** Returns the number of tasks that were begun for a job. */
  public long executions(String job) {
    return executions.stream().filter(start -> start.getJob().equals(job)).count();
  }

  /** Returns the number of running tasks. */
  public long running() {
    return tasks.values().stream()
        .flatMap(workerTasks -> workerTasks.values().stream())
        .filter(status -> status.getPhase() == TaskPhase.TASK_RUNNING)
        .count();
  }

  /** Returns the control of the workers for one process. */
  public WorkerControl control(PausableTimers process) {
    return new Control(process);
  }

  private Map<String, TaskStatus> tasksOfWorker(String address) {
    return tasks.computeIfAbsent(address, key -> new LinkedHashMap<>());
  }

  private TaskStatus start(String address, TaskStart start) {
    String name = start.getJob() + "#" + start.getAttempt();
    TaskStatus existing = tasksOfWorker(address).get(name);
    if (existing != null) {
      return existing;
    }
    TaskStatus.Builder status =
        TaskStatus.newBuilder().setJob(start.getJob()).setAttempt(start.getAttempt());
    boolean isLate = clock.wallMilliseconds() > start.getBeginBeforeMilliseconds();
    if (isLate || refusedAttempts.contains(address + name)) {
      return status.setPhase(TaskPhase.TASK_NEVER_BEGUN).build();
    }
    executions.add(start);
    TaskStatus running = status.setPhase(TaskPhase.TASK_RUNNING).build();
    tasksOfWorker(address).put(name, running);
    TaskPhase end =
        failingWorkers.contains(address) ? TaskPhase.TASK_FAILED : TaskPhase.TASK_SUCCEEDED;
    clock.schedule(Duration.ofMillis(runMilliseconds), () -> finish(address, name, end));
    return running;
  }

  private void finish(String address, String name, TaskPhase phase) {
    tasksOfWorker(address)
        .computeIfPresent(
            name,
            (key, status) ->
                status.getPhase() == TaskPhase.TASK_RUNNING
                    ? status.toBuilder().setPhase(phase).build()
                    : status);
  }

  private TaskStatus status(String address, String job, int attempt) {
    String name = job + "#" + attempt;
    TaskStatus existing = tasksOfWorker(address).get(name);
    if (existing != null) {
      return existing;
    }
    refusedAttempts.add(address + name);
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
        return startDelayed(workerAddress, start);
      }
      TaskStatus status = FakeWorkers.this.start(workerAddress, start);
      if (lostStartReplies > 0) {
        lostStartReplies--;
        return sendReply(Either.left(new PlatformError.Unknown("reply lost")));
      }
      return sendReply(Either.right(status));
    }

    private CompletableFuture<Either<PlatformError, TaskStatus>> startDelayed(
        String workerAddress, TaskStart start) {
      CompletableFuture<Either<PlatformError, TaskStatus>> reply = new CompletableFuture<>();
      clock.schedule(
          Duration.ofMillis(startDelayMilliseconds),
          () -> {
            TaskStatus status = FakeWorkers.this.start(workerAddress, start);
            process.runOrDefer(() -> reply.complete(Either.right(status)));
          });
      return reply;
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskStatus>> status(
        String workerAddress, String job, int attempt) {
      return sendReply(Either.right(FakeWorkers.this.status(workerAddress, job, attempt)));
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskListing>> renew(
        String workerAddress, long leaseMilliseconds) {
      TaskListing listing =
          TaskListing.newBuilder().addAllTasks(tasksOfWorker(workerAddress).values()).build();
      return sendReply(Either.right(listing));
    }

    @Override
    public CompletableFuture<Either<PlatformError, TaskStatus>> stop(
        String workerAddress, String job, int attempt) {
      finish(workerAddress, job + "#" + attempt, TaskPhase.TASK_STOPPED);
      return sendReply(Either.right(FakeWorkers.this.status(workerAddress, job, attempt)));
    }

    private <T> CompletableFuture<Either<PlatformError, T>> sendReply(
        Either<PlatformError, T> value) {
      CompletableFuture<Either<PlatformError, T>> reply = new CompletableFuture<>();
      clock.schedule(Duration.ofMillis(1), () -> process.runOrDefer(() -> reply.complete(value)));
      return reply;
    }
  }
}
