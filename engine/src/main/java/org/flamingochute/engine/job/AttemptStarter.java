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
 * <p>The record keeps its id for as long as it takes to reach the log, since the token stays
 * debited until the fold has decided. An attempt that is accepted late, or by an entry that may no
 * longer work, is not sent: it is recorded as not run, after which no one sends it.
 *
 * <p>Example: placer A records attempt 1 under epoch 4 and pauses. B claims epoch 5, and asks the
 * worker about attempt 1; the worker has not begun it and refuses it from then on. When A wakes and
 * sends it, the worker refuses, and nothing has run twice.
 */
final class AttemptStarter {

  private static final long APPEND_MILLISECONDS = Duration.ofDays(1).toMillis();

  /** Time for a worker to begin an attempt after it was sent, in milliseconds. */
  private static final long BEGIN_MILLISECONDS = 5_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final JobTokens tokens;
  private final WorkGate gate;
  private final LogAppender appender;
  private final WorkerControl workers;
  private final Timers timers;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final AttemptEnds ends;
  private final long leaseMilliseconds;
  private final Map<JobId, InstanceId> starting = new HashMap<>();
  private final Set<AttemptId> sending = new HashSet<>();

  AttemptStarter(JobParts parts, AttemptEnds ends, long leaseMilliseconds) {
    this.agreed = parts.agreed();
    this.tokens = parts.tokens();
    this.gate = parts.gate();
    this.appender = parts.appender();
    this.workers = parts.workers();
    this.timers = parts.timers();
    this.self = parts.self();
    this.metrics = parts.metrics();
    this.ends = ends;
    this.leaseMilliseconds = leaseMilliseconds;
  }

  /** Returns the jobs whose attempt records are on their way, with their workers. */
  synchronized Map<JobId, InstanceId> starting() {
    return Map.copyOf(starting);
  }

  /** Tells whether no attempt is on its way into the log or to its worker. */
  synchronized boolean isIdle() {
    return starting.isEmpty() && sending.isEmpty();
  }

  /** Tells whether the attempt is being sent to its worker. */
  synchronized boolean isSending(AttemptId attempt) {
    return sending.contains(attempt);
  }

  /** Starts the next attempt of a waiting job when a token of its team is free. */
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
        .append(LogRecord.newBuilder().setJobAttemptStarted(started), APPEND_MILLISECONDS)
        .thenAccept(outcome -> takeRecorded(job, started, outcome));
  }

  private void takeRecorded(JobImage job, JobAttemptStarted started, AppendOutcome outcome) {
    TeamId team = new TeamId(job.getSubmitted().getTeam());
    AttemptId attempt = new AttemptId(new JobId(started.getJob()), started.getAttempt());
    synchronized (this) {
      starting.remove(attempt.job());
    }
    switch (outcome) {
      case AppendOutcome.Folded folded when folded.isAccepted() -> send(started, attempt);
      case AppendOutcome.NotAppended notAppended -> {
        tokens.creditRefusedAttempt(team, started.getEscrowEpoch());
        endSending(attempt);
      }
      default -> {
        metrics.counter("jobs.attempts_refused").inc();
        endSending(attempt);
      }
    }
  }

  private void send(JobAttemptStarted started, AttemptId attempt) {
    Optional<JobImage> job = agreed.job(attempt.job());
    Optional<InstanceImage> worker = agreed.instance(new InstanceId(started.getWorker()));
    Optional<ErrorReport> closed = gate.startRefusal();
    boolean isCurrent =
        job.isPresent()
            && job.get().getPhase() == JobPhase.JOB_RUNNING
            && AttemptId.newest(job.get()).equals(attempt);
    if (!isCurrent || worker.isEmpty()) {
      endSending(attempt);
      return;
    }
    if (closed.isPresent() || job.get().getCancelRequested()) {
      ends.takeNotRun(job.get(), "not sent to the worker");
      endSending(attempt);
      return;
    }
    metrics.counter("jobs.attempts_sent").inc();
    logger.atInfo().log(
        "event=job_attempt_sent job=%s attempt=%d worker=%s",
        attempt.job(), attempt.attempt(), started.getWorker());
    TaskStart start =
        TaskStart.newBuilder()
            .setJob(started.getJob())
            .setAttempt(started.getAttempt())
            .setAmount(job.get().getSubmitted().getDeclared())
            .setPayload(job.get().getSubmitted().getPayload())
            .setLeaseMilliseconds(leaseMilliseconds)
            .setBeginBeforeMilliseconds(timers.wallMilliseconds() + BEGIN_MILLISECONDS)
            .build();
    workers
        .start(worker.get().getObserved().getAddress(), start)
        .thenAccept(answer -> takeSent(job.get(), attempt, answer));
  }

  /** A lost answer is settled by the next look at the worker. */
  private void takeSent(JobImage job, AttemptId attempt, Either<PlatformError, TaskStatus> answer) {
    endSending(attempt);
    if (answer.isRight()) {
      ends.takeStatus(job, answer.get());
      return;
    }
    if (answer.getLeft() instanceof PlatformError.Refused refused) {
      ends.takeNotRun(job, refused.detail());
    }
  }

  private synchronized void endSending(AttemptId attempt) {
    sending.remove(attempt);
  }
}
