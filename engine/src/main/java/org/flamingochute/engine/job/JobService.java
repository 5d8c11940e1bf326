package org.flamingochute.engine.job;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.engine.log.AppendOutcome;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.request.KeyDirectoryCache;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobSubmissionBody;
import org.flamingochute.schema.JobSubmitted;
import org.flamingochute.schema.JobsCancelled;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.PoolSection;
import org.flamingochute.schema.ResourceAmount;

/**
 * Accepts and cancels jobs of teams.
 *
 * <p>A job is acknowledged after its record was read back. The job id of a submission with an
 * idempotency key is derived from the team and the key, so that a repeated submission yields the
 * same job at every entry.
 */
public final class JobService {

  /** Time within which a caller's record must be read back. */
  private static final long APPEND_TIMEOUT_MILLISECONDS = 5_000;

  /** Maximum number of jobs cancelled by one record. */
  private static final int CANCELLATION_BATCH_JOBS = 500;

  /** Hexadecimal digits of the digest in the id of a job with an idempotency key. */
  private static final int ID_DIGITS = 32;

  private static final String WORKER_KIND = "worker";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final KeyDirectoryCache keys;
  private final WorkGate gate;
  private final LogAppender appender;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final AtomicLong jobCounter = new AtomicLong();

  /** Creates the service. */
  public JobService(
      AgreedView agreed,
      KeyDirectoryCache keys,
      WorkGate gate,
      LogAppender appender,
      Incarnation self,
      MetricRegistry metrics) {
    this.agreed = agreed;
    this.keys = keys;
    this.gate = gate;
    this.appender = appender;
    this.self = self;
    this.metrics = metrics;
  }

  /** Submits a job for the team of the key. */
  public CompletableFuture<Either<ErrorReport, JobImage>> submit(
      String key, JobSubmissionBody body) {
    Optional<ErrorReport> refusal = gate.newWorkRefusal();
    if (refusal.isPresent()) {
      return refused(refusal.get());
    }
    Either<ErrorReport, TeamId> team = team(key);
    if (team.isLeft()) {
      return refused(team.getLeft());
    }
    Optional<ErrorReport> invalid = validate(body);
    if (invalid.isPresent()) {
      return refused(invalid.get());
    }
    JobId id = jobId(team.get(), body);
    Optional<JobImage> existing = agreed.job(id);
    if (existing.isPresent()) {
      return CompletableFuture.completedFuture(Either.right(existing.get()));
    }
    metrics.counter("jobs.submitted").inc();
    return appender
        .append(
            LogRecord.newBuilder().setJobSubmitted(submissionRecord(id, team.get(), body)),
            APPEND_TIMEOUT_MILLISECONDS)
        .thenApply(outcome -> submissionResult(id, outcome));
  }

  /** Returns a job of the team of the key. */
  public Either<ErrorReport, JobImage> job(String key, JobId id) {
    Either<ErrorReport, TeamId> team = team(key);
    if (team.isLeft()) {
      return Either.left(team.getLeft());
    }
    return jobOf(team.get(), id);
  }

  /** Cancels jobs of the team of the key. */
  public CompletableFuture<Either<ErrorReport, Void>> cancel(String key, List<JobId> ids) {
    Either<ErrorReport, TeamId> team = team(key);
    if (team.isLeft()) {
      return CompletableFuture.completedFuture(Either.left(team.getLeft()));
    }
    for (JobId id : ids) {
      Either<ErrorReport, JobImage> job = jobOf(team.get(), id);
      if (job.isLeft()) {
        return CompletableFuture.completedFuture(Either.left(job.getLeft()));
      }
    }
    metrics.counter("jobs.cancellations").inc(ids.size());
    CompletableFuture<Either<ErrorReport, Void>> all =
        CompletableFuture.completedFuture(Either.right(null));
    for (JobsCancelled batch : cancellationBatches(team.get(), ids)) {
      CompletableFuture<AppendOutcome> outcome =
          appender.append(
              LogRecord.newBuilder().setJobsCancelled(batch), APPEND_TIMEOUT_MILLISECONDS);
      all = all.thenCombine(outcome, (before, ended) -> before.flatMap(none -> result(ended)));
    }
    return all;
  }

  private Either<ErrorReport, TeamId> team(String key) {
    return keys.directory()
        .team(key)
        .map(Either::<ErrorReport, TeamId>right)
        .orElseGet(() -> Either.left(ErrorReport.of(ErrorCode.KEY_UNKNOWN)));
  }

  private Either<ErrorReport, JobImage> jobOf(TeamId team, JobId id) {
    Optional<JobImage> job = agreed.job(id);
    if (job.isEmpty() || !job.get().getSubmitted().getTeam().equals(team.value())) {
      return Either.left(ErrorReport.of(ErrorCode.JOB_UNKNOWN, id));
    }
    return Either.right(job.get());
  }

  private Optional<ErrorReport> validate(JobSubmissionBody body) {
    PoolSection pool = agreed.description().getPoolsMap().get(body.getPool());
    if (pool == null || !pool.getKind().equals(WORKER_KIND)) {
      return Optional.of(ErrorReport.of(ErrorCode.POOL_UNKNOWN, body.getPool()));
    }
    ResourceAmount declared = body.getDeclared();
    Optional<ErrorReport> negativeField =
        validateNotNegative("declared.processorMillicores", declared.getProcessorMillicores())
            .or(
                () ->
                    validateNotNegative("declared.memoryMebibytes", declared.getMemoryMebibytes()))
            .or(() -> validateNotNegative("declared.accelerators", declared.getAccelerators()))
            .or(
                () ->
                    validateNotNegative(
                        "declaredRunMilliseconds", body.getDeclaredRunMilliseconds()))
            .or(() -> validateNotNegative("deadlineMilliseconds", body.getDeadlineMilliseconds()));
    if (negativeField.isPresent()) {
      return negativeField;
    }
    String key = body.getIdempotencyKey();
    if (!key.isEmpty() && !Identifiers.isValid(key)) {
      return Optional.of(
          ErrorReport.of(
              ErrorCode.REQUEST_MALFORMED,
              "idempotencyKey",
              key,
              "is not 1 to 200 characters without control characters"));
    }
    return Optional.empty();
  }

  private static Optional<ErrorReport> validateNotNegative(String field, long value) {
    if (value >= 0) {
      return Optional.empty();
    }
    return Optional.of(
        ErrorReport.of(ErrorCode.REQUEST_MALFORMED, field, value, "it must not be negative"));
  }

  private JobId jobId(TeamId team, JobSubmissionBody body) {
    if (body.getIdempotencyKey().isEmpty()) {
      return new JobId("job-" + self + "-" + jobCounter.incrementAndGet());
    }
    String text = team + "\n" + body.getIdempotencyKey();
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return new JobId("job-" + HexFormat.of().formatHex(digest).substring(0, ID_DIGITS));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java platform must provide SHA-256", missing);
    }
  }

  private static JobSubmitted submissionRecord(JobId id, TeamId team, JobSubmissionBody body) {
    return JobSubmitted.newBuilder()
        .setJob(id.value())
        .setTeam(team.value())
        .setPool(body.getPool())
        .setDeclared(body.getDeclared())
        .setDeclaredRunMilliseconds(body.getDeclaredRunMilliseconds())
        .setDeadlineMilliseconds(body.getDeadlineMilliseconds())
        .setIdempotent(body.getIdempotent())
        .setUrgent(body.getUrgent())
        .setPayload(body.getPayload())
        .setIdempotencyKey(body.getIdempotencyKey())
        .build();
  }

  private Either<ErrorReport, JobImage> submissionResult(JobId id, AppendOutcome outcome) {
    Optional<JobImage> job = agreed.job(id);
    if (job.isPresent()) {
      logger.atInfo().log("event=job_acknowledged job=%s", id);
      return Either.right(job.get());
    }
    Either<ErrorReport, Void> result = result(outcome);
    if (result.isLeft()) {
      return Either.left(result.getLeft());
    }
    return Either.left(ErrorReport.of(ErrorCode.JOB_UNKNOWN, id));
  }

  private static List<JobsCancelled> cancellationBatches(TeamId team, List<JobId> ids) {
    List<JobsCancelled> batches = new ArrayList<>();
    for (int from = 0; from < ids.size(); from += CANCELLATION_BATCH_JOBS) {
      JobsCancelled.Builder batch = JobsCancelled.newBuilder().setTeam(team.value());
      for (JobId id : ids.subList(from, Math.min(ids.size(), from + CANCELLATION_BATCH_JOBS))) {
        batch.addJobs(id.value());
      }
      batches.add(batch.build());
    }
    return batches;
  }

  /** Converts the outcome of an append into the caller's result. */
  private static Either<ErrorReport, Void> result(AppendOutcome outcome) {
    return switch (outcome) {
      case AppendOutcome.Applied(long offset, ApplyResult.Refused(ErrorReport report)) ->
          Either.left(report);
      case AppendOutcome.Applied(long offset, ApplyResult.Unreadable(ErrorReport report)) ->
          Either.left(report);
      case AppendOutcome.Applied applied -> Either.right(null);
      case AppendOutcome.NotAppended(String detail) ->
          Either.left(ErrorReport.of(ErrorCode.LOG_UNAVAILABLE, detail));
      case AppendOutcome.Unknown(String detail) ->
          Either.left(ErrorReport.of(ErrorCode.OUTCOME_UNKNOWN, detail));
    };
  }

  private static CompletableFuture<Either<ErrorReport, JobImage>> refused(ErrorReport report) {
    return CompletableFuture.completedFuture(Either.left(report));
  }
}
