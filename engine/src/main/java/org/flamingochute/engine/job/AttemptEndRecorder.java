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
 * Appends the ends of attempts to the log.
 *
 * <p>At most one end of an attempt is being appended at a time, and the agreed state accepts only
 * the first. The status that a worker reports for an attempt determines its result. The result of a
 * stopped task is cancelled if the cancellation of its job was requested or the job is idempotent;
 * an idempotent job whose cancellation was not requested then waits again. The result of any other
 * stopped task is unknown, since it has run in part.
 */
final class AttemptEndRecorder {

  private static final long APPEND_TIMEOUT_MILLISECONDS = Duration.ofHours(1).toMillis();

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final LogAppender appender;
  private final MetricRegistry metrics;
  private final Timers timers;
  private final Set<AttemptId> recording = new HashSet<>();
  private List<Observation> observations = new ArrayList<>();

  AttemptEndRecorder(JobDependencies dependencies) {
    this.agreed = dependencies.agreed();
    this.appender = dependencies.appender();
    this.metrics = dependencies.metrics();
    this.timers = dependencies.timers();
  }

  /** Returns whether the end of the attempt is being appended to the log. */
  synchronized boolean isRecording(AttemptId attempt) {
    return recording.contains(attempt);
  }

  /** Records the end that a worker reported; does nothing for an attempt that is still running. */
  void recordStatus(JobImage job, TaskStatus status) {
    switch (status.getPhase()) {
      case TASK_NEVER_BEGUN -> record(job, AttemptResult.ATTEMPT_NOT_RUN, status);
      case TASK_SUCCEEDED -> record(job, AttemptResult.ATTEMPT_SUCCEEDED, status);
      case TASK_FAILED -> record(job, AttemptResult.ATTEMPT_FAILED, status);
      case TASK_STOPPED -> record(job, resultOfStoppedTask(job), status);
      default -> {}
    }
  }

  /** Records an attempt as unknown because its worker is gone. */
  void recordWorkerGone(JobImage job) {
    TaskStatus status = TaskStatus.newBuilder().setDetail("the worker is gone").build();
    record(job, AttemptResult.ATTEMPT_UNKNOWN, status);
  }

  /** Records an attempt that provably did not run. */
  void recordNotRun(JobImage job, String detail) {
    TaskStatus status = TaskStatus.newBuilder().setDetail(detail).build();
    record(job, AttemptResult.ATTEMPT_NOT_RUN, status);
  }

  private AttemptResult resultOfStoppedTask(JobImage job) {
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
    addObservation(job, result, status);
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
        .append(LogRecord.newBuilder().setJobAttemptEnded(ended), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> finishRecording(attempt));
  }

  /**
   * Reports the observations since the previous call to the policy, which is not thread-safe.
   * Called by the placement task only.
   */
  void reportObservations(PlacementPolicy policy) {
    List<Observation> reported;
    synchronized (this) {
      reported = observations;
      observations = new ArrayList<>();
    }
    for (Observation observation : reported) {
      JobId job = new JobId(observation.job().getSubmitted().getJob());
      InstanceId worker = new InstanceId(observation.job().getWorker());
      policy.observeAttemptEnd(
          job, worker, observation.succeeded(), timers.monotonicMilliseconds());
      if (observation.status().hasObservedPeak()) {
        policy.observeUsage(
            new TeamId(observation.job().getSubmitted().getTeam()),
            ResourceVector.of(observation.job().getSubmitted().getDeclared()),
            ResourceVector.of(observation.status().getObservedPeak()));
      }
    }
  }

  private synchronized void addObservation(JobImage job, AttemptResult result, TaskStatus status) {
    boolean succeeded = result == AttemptResult.ATTEMPT_SUCCEEDED;
    if (succeeded || result == AttemptResult.ATTEMPT_FAILED) {
      observations.add(new Observation(job, succeeded, status));
    }
  }

  private synchronized void finishRecording(AttemptId attempt) {
    recording.remove(attempt);
  }

  /** The end of an attempt, as an input of the placement policy. */
  private record Observation(JobImage job, boolean succeeded, TaskStatus status) {}
}
