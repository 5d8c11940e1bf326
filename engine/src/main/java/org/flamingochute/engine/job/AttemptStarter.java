package org.flamingochute.engine.job;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.engine.log.AppendOutcome;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.WorkerControl;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.JobAttemptStarted;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.TaskStart;
import org.flamingochute.schema.TaskStatus;

/**
 * Starts attempts: debits a token, records the attempt, and sends it to the worker only after the
 * record was read back as accepted.
 *
 * <p>The record is retried under one id until it is in the log, since the token stays debited until
 * the record is applied and thereby accepted or refused. If this entry may no longer start work
 * when the record is accepted, or the cancellation of the job was requested, the attempt is not
 * sent and is recorded as not run, after which no entry sends it. An attempt that has ended by
 * then, or whose worker is no longer known, is not sent either; nothing is recorded for it here.
 *
 * <p>Example: placer A records attempt 1 under epoch 4 and is paused. B claims epoch 5 and queries
 * the worker for attempt 1; the worker has not begun it and refuses it from then on. When A resumes
 * and sends it, the worker refuses, and nothing runs twice.
 */
final class AttemptStarter {

  /** Long, so that the appender retries the record under its id instead of giving it up. */
  private static final long APPEND_TIMEOUT_MILLISECONDS = Duration.ofDays(1).toMillis();

  /** Time within which a worker must begin an attempt after it was sent. */
  private static final long BEGIN_TIMEOUT_MILLISECONDS = 5_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final JobTokens tokens;
  private final WorkGate gate;
  private final LogAppender appender;
  private final WorkerControl workers;
  private final Timers timers;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final AttemptEndRecorder endRecorder;
  private final long leaseMilliseconds;
  private final Map<JobId, InstanceId> starting = new HashMap<>();
  private final Set<AttemptId> sending = new HashSet<>();

  AttemptStarter(
      JobDependencies dependencies, AttemptEndRecorder endRecorder, long leaseMilliseconds) {
    this.agreed = dependencies.agreed();
    this.tokens = dependencies.tokens();
    this.gate = dependencies.gate();
    this.appender = dependencies.appender();
    this.workers = dependencies.workers();
    this.timers = dependencies.timers();
    this.self = dependencies.self();
    this.metrics = dependencies.metrics();
    this.endRecorder = endRecorder;
    this.leaseMilliseconds = leaseMilliseconds;
  }

  /** Returns the jobs whose attempt records are being appended, with their workers. */
  synchronized Map<JobId, InstanceId> starting() {
    return Map.copyOf(starting);
  }

  /** Returns whether no attempt record is being appended and no attempt is being sent. */
  synchronized boolean isIdle() {
    return starting.isEmpty() && sending.isEmpty();
  }

  /** Returns whether the attempt is being recorded or sent to its worker. */
  synchronized boolean isSending(AttemptId attempt) {
    return sending.contains(attempt);
  }

  /** Starts the next attempt of a waiting job if a token of its team is free. */
  void start(JobImage job, InstanceId worker, long placerEpoch) {
    JobId id = new JobId(job.getSubmitted().getJob());
    TeamId team = new TeamId(job.getSubmitted().getTeam());
    OptionalLong escrowEpoch = tokens.debitForAttempt(team);
    if (escrowEpoch.isEmpty()) {
      tokens.requestTokens(team);
      return;
    }
    synchronized (this) {
      starting.put(id, worker);
      sending.add(new AttemptId(id, job.getAttempts() + 1));
    }
    JobAttemptStarted started =
        JobAttemptStarted.newBuilder()
            .setJob(id.value())
            .setAttempt(job.getAttempts() + 1)
            .setWorker(worker.value())
            .setIncarnation(self.value())
            .setPlacerEpoch(placerEpoch)
            .setEscrowEpoch(escrowEpoch.getAsLong())
            .build();
    appender
        .append(LogRecord.newBuilder().setJobAttemptStarted(started), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> handleRecorded(job, started, outcome));
  }

  private void handleRecorded(JobImage job, JobAttemptStarted started, AppendOutcome outcome) {
    TeamId team = new TeamId(job.getSubmitted().getTeam());
    AttemptId attempt = new AttemptId(new JobId(started.getJob()), started.getAttempt());
    synchronized (this) {
      starting.remove(attempt.job());
    }
    switch (outcome) {
      case AppendOutcome.Applied applied when applied.isAccepted() -> send(started, attempt);
      case AppendOutcome.NotAppended notAppended -> {
        tokens.creditUnappendedAttempt(team, started.getEscrowEpoch());
        finishSending(attempt);
      }
      default -> {
        metrics.counter("jobs.attempts_refused").inc();
        finishSending(attempt);
      }
    }
  }

  private void send(JobAttemptStarted started, AttemptId attempt) {
    Optional<JobImage> job = agreed.job(attempt.job());
    Optional<InstanceImage> worker = agreed.instance(new InstanceId(started.getWorker()));
    Optional<ErrorReport> refusal = gate.startRefusal();
    boolean isCurrent =
        job.isPresent()
            && job.get().getPhase() == JobPhase.JOB_RUNNING
            && AttemptId.newest(job.get()).equals(attempt);
    if (!isCurrent || worker.isEmpty()) {
      finishSending(attempt);
      return;
    }
    if (refusal.isPresent() || job.get().getCancelRequested()) {
      endRecorder.recordNotRun(job.get(), "not sent to the worker");
      finishSending(attempt);
      return;
    }
    metrics.counter("jobs.attempts_sent").inc();
    logger.atInfo().log(
        "event=job_attempt_sent job=%s attempt=%d worker=%s",
        attempt.job(), attempt.attempt(), started.getWorker());
    TaskStart taskStart =
        TaskStart.newBuilder()
            .setJob(started.getJob())
            .setAttempt(started.getAttempt())
            .setAmount(job.get().getSubmitted().getDeclared())
            .setPayload(job.get().getSubmitted().getPayload())
            .setLeaseMilliseconds(leaseMilliseconds)
            .setBeginBeforeMilliseconds(timers.wallMilliseconds() + BEGIN_TIMEOUT_MILLISECONDS)
            .build();
    workers
        .start(worker.get().getObserved().getAddress(), taskStart)
        .thenAccept(result -> handleStartResult(job.get(), attempt, result));
  }

  /** If the response was lost, the next poll of the worker determines the attempt's status. */
  private void handleStartResult(
      JobImage job, AttemptId attempt, Either<PlatformError, TaskStatus> result) {
    finishSending(attempt);
    if (result.isRight()) {
      endRecorder.recordStatus(job, result.get());
      return;
    }
    if (result.getLeft() instanceof PlatformError.Refused refused) {
      endRecorder.recordNotRun(job, refused.detail());
    }
  }

  private synchronized void finishSending(AttemptId attempt) {
    sending.remove(attempt);
  }
}
