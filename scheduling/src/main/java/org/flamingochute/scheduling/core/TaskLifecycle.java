package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.flamingochute.decision.placement.WorkerHealth;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.TaskProgress;

/**
 * Moves tasks between waiting, assigned and done, and jobs to their ends.
 *
 * <p>An assigned task counts against its worker's room and its team's cap until it is certain that
 * its run is over: an end that the worker listed, a listing without the run that was asked for
 * after the worker had it, a lease that expired, or a new incarnation of the worker.
 */
final class TaskLifecycle {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Pause before a task that failed starts again, so that it does not fail in a busy loop. */
  private static final long RETRY_DELAY_MILLISECONDS = 20;

  /** Pause before a task that lasts starts again after it failed. */
  private static final long LASTING_RETRY_DELAY_MILLISECONDS = 100;

  private final JobBook jobs;
  private final TeamUsage usage;
  private final WorkerHealth health;
  private final Outbox outbox;
  private final SchedulerSettings settings;

  TaskLifecycle(
      JobBook jobs,
      TeamUsage usage,
      WorkerHealth health,
      Outbox outbox,
      SchedulerSettings settings) {
    this.jobs = jobs;
    this.usage = usage;
    this.health = health;
    this.outbox = outbox;
    this.settings = settings;
  }

  /** Assigns a waiting task to a worker as its next run. */
  void assign(Task task, Worker worker, int attempt, long now) {
    task.phase = TaskProgress.Phase.ASSIGNED;
    task.order = Task.Order.RECORDING;
    task.attempt = attempt;
    task.orderedAt = now;
    task.assignedAt = now;
    task.percent = 0;
    task.percentChangedAt = now;
    task.listedAt = now;
    task.pacePercent = Task.FULL_PACE;
    place(task, worker);
    outbox.changed(task.job);
    outbox.afterRecording(
        new SchedulerCommand.StartTask(
            worker.key, task.id, attempt, task.job.definition.getPayload(), task.checkpoint));
  }

  /** Takes over a run that another scheduler recorded. */
  void inherit(Task task, Worker worker, long now) {
    task.assignedAt = now;
    task.percentChangedAt = now;
    task.listedAt = now;
    task.order = Task.Order.RUNNING;
    task.orderedAt = Long.MIN_VALUE;
    place(task, worker);
  }

  private void place(Task task, Worker worker) {
    task.worker = Optional.of(worker);
    task.workerKey = Optional.of(worker.key);
    worker.add(task);
    usage.add(task);
  }

  private void leaveWorker(Task task) {
    task.worker.ifPresent(worker -> worker.remove(task));
    if (task.worker.isPresent()) {
      usage.remove(task);
    }
    task.worker = Optional.empty();
    task.workerKey = Optional.empty();
  }

  /** Takes room for a waiting task while the rest of its gang is placed. */
  void reserve(Task task, Worker worker) {
    place(task, worker);
  }

  /** Gives the room of a reservation back. */
  void undoReservation(Task task) {
    leaveWorker(task);
  }

  /** Lets an assigned task wait again, since its run is certainly over. */
  void release(Task task, String cause) {
    logger.atInfo().log(
        "event=run_over task=%s attempt=%d worker=%s cause=%s",
        task.id, task.attempt, task.workerKey.map(Object::toString).orElse("-"), cause);
    leaveWorker(task);
    task.phase = TaskProgress.Phase.WAITING;
    outbox.changed(task.job);
    closeIfOver(task.job);
  }

  /** Tells a worker to end the run of an assigned task. */
  void stop(Task task, long now) {
    if (!task.isAssigned() || task.worker.isEmpty()) {
      return;
    }
    final boolean unsent = task.order == Task.Order.RECORDING;
    task.order = Task.Order.STOPPING;
    task.orderedAt = Long.MAX_VALUE;
    task.stopAskedAt = now;
    if (unsent) {
      // The start is dropped when its record is durable; nothing of it reached the worker.
      release(task, "stopped_before_start");
      return;
    }
    outbox.now(new SchedulerCommand.StopTask(task.worker.get().key, task.id, task.attempt));
  }

  /** Stops a run that makes no progress; the task starts elsewhere. */
  void stopStalled(Task task, long now) {
    task.worker.ifPresent(
        worker -> {
          task.failedOn.add(worker.key.id());
          health.observe(task.id.job(), worker.key.id(), false, now);
          logger.atInfo().log(
              "event=run_stalled task=%s attempt=%d worker=%s percent=%d unchanged_ms=%d",
              task.id, task.attempt, worker.key, task.percent, now - task.percentChangedAt);
        });
    stop(task, now);
  }

  /** Repeats the order to stop, which got no answer. */
  void stopAgain(Task task, long now) {
    task.stopAskedAt = now;
    task.worker.ifPresent(
        worker -> outbox.now(new SchedulerCommand.StopTask(worker.key, task.id, task.attempt)));
  }

  /** Applies an end that the task's worker listed. */
  void ended(Task task, EndReason reason, String checkpoint, long now, long timeOfDay) {
    if (!checkpoint.isEmpty()) {
      keepCheckpoint(task, checkpoint);
    }
    if (reason == EndReason.DONE && !task.step.getLongRunning()) {
      task.worker.ifPresent(worker -> health.observe(task.id.job(), worker.key.id(), true, now));
      done(task, timeOfDay);
      return;
    }
    if (reason == EndReason.FAILED) {
      failed(task, now, timeOfDay);
      return;
    }
    release(task, reason.name().toLowerCase(Locale.ROOT));
  }

  /** All members of a gang resume from the same checkpoint. */
  void keepCheckpoint(Task task, String checkpoint) {
    if (!task.step.getGang()) {
      task.checkpoint = checkpoint;
      return;
    }
    for (Task member : task.occurrence.tasksOf(task.id.step())) {
      member.checkpoint = checkpoint;
    }
  }

  private void done(Task task, long timeOfDay) {
    markDone(task);
    if (task.step.getGang()) {
      for (Task member : task.occurrence.tasksOf(task.id.step())) {
        markDone(member);
      }
    }
    outbox.changed(task.job);
    if (task.job.isOpen() && task.job.isEveryTaskDone()) {
      end(task.job, JobProgress.Phase.COMPLETED, "all_tasks_done", timeOfDay);
    }
    closeIfOver(task.job);
  }

  private void markDone(Task task) {
    if (task.isDone()) {
      return;
    }
    leaveWorker(task);
    task.phase = TaskProgress.Phase.DONE;
    task.occurrence.taskDone(task.id.step());
  }

  private void failed(Task task, long now, long timeOfDay) {
    task.worker.ifPresent(
        worker -> {
          task.failedOn.add(worker.key.id());
          health.observe(task.id.job(), worker.key.id(), false, now);
        });
    task.failures++;
    boolean lasting = task.step.getLongRunning();
    task.notBefore = now + (lasting ? LASTING_RETRY_DELAY_MILLISECONDS : RETRY_DELAY_MILLISECONDS);
    int limit = Math.max(1, task.job.policy.getMaximumAttempts());
    int failures = task.step.getGang() ? gangFailures(task) : task.failures;
    release(task, "failed");
    if (!lasting && failures >= limit && task.job.isOpen()) {
      end(task.job, JobProgress.Phase.FAILED, "task_" + task.id + "_failed_" + failures, timeOfDay);
      stopAll(task.job, now);
      closeIfOver(task.job);
    }
  }

  private static int gangFailures(Task task) {
    int sum = 0;
    for (Task member : task.occurrence.tasksOf(task.id.step())) {
      sum += member.failures;
    }
    return sum;
  }

  /** Withdraws a job: nothing of it starts any more, and what runs is stopped. */
  void cancel(Job job, long now, long timeOfDay) {
    if (!job.isOpen()) {
      return;
    }
    end(job, JobProgress.Phase.CANCELLED, "cancelled_by_caller", timeOfDay);
    stopAll(job, now);
    closeIfOver(job);
  }

  private void end(Job job, JobProgress.Phase phase, String cause, long timeOfDay) {
    job.phase = phase;
    job.endedMilliseconds = timeOfDay;
    outbox.changed(job);
    logger.atInfo().log(
        "event=job_ended job=%s queue=%s phase=%s cause=%s age_ms=%d",
        job.id,
        job.definition.getQueue(),
        phase,
        cause,
        timeOfDay - job.definition.getAcceptedMilliseconds());
  }

  private void stopAll(Job job, long now) {
    List<Task> assigned = new ArrayList<>();
    for (Occurrence occurrence : job.occurrences) {
      for (int step = 0; step < occurrence.stepCount(); step++) {
        for (Task task : occurrence.tasksOf(step)) {
          if (task.isAssigned()) {
            assigned.add(task);
          }
        }
      }
    }
    for (Task task : assigned) {
      stop(task, now);
    }
  }

  private void closeIfOver(Job job) {
    if (job.isOpen() || job.hasAssignedTask()) {
      return;
    }
    outbox.changed(job);
    jobs.close(job.id, job.endedMilliseconds + settings.statusRetentionMilliseconds());
  }
}
