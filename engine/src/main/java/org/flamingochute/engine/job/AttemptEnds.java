package org.flamingochute.engine.job;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.PlacementPolicy;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.AttemptResult;
import org.flamingochute.schema.JobAttemptEnded;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.TaskStatus;

/**
 * Records how attempts ended, each once.
 *
 * <p>What a worker says of an attempt is turned into its result. A task that was stopped ends as
 * cancelled when that was asked for; otherwise it has run in part: an idempotent job waits again,
 * any other has an unknown outcome.
 */
final class AttemptEnds {

  private static final long APPEND_MILLISECONDS = Duration.ofHours(1).toMillis();

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final LogAppender appender;
  private final MetricRegistry metrics;
  private final Timers timers;
  private final Set<AttemptId> recording = new HashSet<>();
  private List<Lesson> lessons = new ArrayList<>();

  AttemptEnds(JobParts parts) {
    this.agreed = parts.agreed();
    this.appender = parts.appender();
    this.metrics = parts.metrics();
    this.timers = parts.timers();
  }

  /** Tells whether the end of the attempt is on its way into the log. */
  synchronized boolean isRecording(AttemptId attempt) {
    return recording.contains(attempt);
  }

  /** Records the end that a worker reported; an attempt that runs has none. */
  void takeStatus(JobImage job, TaskStatus status) {
    switch (status.getPhase()) {
      case TASK_NEVER_BEGUN -> record(job, AttemptResult.ATTEMPT_NOT_RUN, status);
      case TASK_SUCCEEDED -> record(job, AttemptResult.ATTEMPT_SUCCEEDED, status);
      case TASK_FAILED -> record(job, AttemptResult.ATTEMPT_FAILED, status);
      case TASK_STOPPED -> record(job, stopped(job), status);
      default -> {}
    }
  }

  /** Records that the worker of an attempt is gone. */
  void takeWorkerGone(JobImage job) {
    TaskStatus status = TaskStatus.newBuilder().setDetail("the worker is gone").build();
    record(job, AttemptResult.ATTEMPT_UNKNOWN, status);
  }

  /** Records an attempt that provably did not reach its worker. */
  void takeNotRun(JobImage job, String detail) {
    TaskStatus status = TaskStatus.newBuilder().setDetail(detail).build();
    record(job, AttemptResult.ATTEMPT_NOT_RUN, status);
  }

  private AttemptResult stopped(JobImage job) {
    boolean cancelled =
        agreed
            .job(new JobId(job.getSubmitted().getJob()))
            .map(JobImage::getCancelRequested)
            .orElse(false);
    if (cancelled || job.getSubmitted().getIdempotent()) {
      return AttemptResult.ATTEMPT_CANCELLED;
    }
    return AttemptResult.ATTEMPT_UNKNOWN;
  }

  private void record(JobImage job, AttemptResult result, TaskStatus status) {
    AttemptId attempt = AttemptId.newest(job);
    synchronized (this) {
      if (!recording.add(attempt)) {
        return;
      }
    }
    learn(job, result, status);
    JobAttemptEnded ended =
        JobAttemptEnded.newBuilder()
            .setJob(attempt.job().value())
            .setAttempt(attempt.attempt())
            .setWorker(job.getWorker())
            .setResult(result)
            .setDetail(status.getDetail())
            .setObservedPeak(status.getObservedPeak())
            .setObservedRunMilliseconds(status.getRunMilliseconds())
            .build();
    metrics.counter("jobs.attempts_ended").inc();
    logger.atInfo().log(
        "event=job_attempt_ended job=%s attempt=%d worker=%s result=%s",
        attempt.job(), attempt.attempt(), job.getWorker(), result);
    appender
        .append(LogRecord.newBuilder().setJobAttemptEnded(ended), APPEND_MILLISECONDS)
        .thenAccept(outcome -> end(attempt));
  }

  /** Gives the policy what was learnt since the last call. Called by the thread that decides. */
  void teach(PlacementPolicy policy) {
    List<Lesson> due;
    synchronized (this) {
      due = lessons;
      lessons = new ArrayList<>();
    }
    for (Lesson lesson : due) {
      JobId job = new JobId(lesson.job().getSubmitted().getJob());
      InstanceId worker = new InstanceId(lesson.job().getWorker());
      policy.observeEnd(job, worker, lesson.succeeded(), timers.monotonicMilliseconds());
      if (lesson.status().hasObservedPeak()) {
        policy.observeUsage(
            new TeamId(lesson.job().getSubmitted().getTeam()),
            ResourceVector.of(lesson.job().getSubmitted().getDeclared()),
            ResourceVector.of(lesson.status().getObservedPeak()));
      }
    }
  }

  private synchronized void learn(JobImage job, AttemptResult result, TaskStatus status) {
    boolean succeeded = result == AttemptResult.ATTEMPT_SUCCEEDED;
    if (succeeded || result == AttemptResult.ATTEMPT_FAILED) {
      lessons.add(new Lesson(job, succeeded, status));
    }
  }

  private synchronized void end(AttemptId attempt) {
    recording.remove(attempt);
  }

  /** What an attempt's end tells the policy. */
  private record Lesson(JobImage job, boolean succeeded, TaskStatus status) {}
}
