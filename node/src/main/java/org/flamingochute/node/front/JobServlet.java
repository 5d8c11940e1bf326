package org.flamingochute.node.front;

import com.google.common.flogger.FluentLogger;
import io.activej.bytebuf.ByteBuf;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.LoadShedding;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.NodeMetrics;
import org.flamingochute.node.UnsettledJobs;
import org.flamingochute.node.store.IntakeResult;
import org.flamingochute.node.store.IntakeWriter;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.ResponseCodec;
import org.flamingochute.platform.wire.SubmissionCodec;
import org.flamingochute.platform.wire.WireException;
import org.flamingochute.scheduling.admission.JobRefusal;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.schema.scheduling.QueuedJob;

/** Serves the callers' API: submits and cancels jobs, and returns their phase. */
final class JobServlet implements AsyncServlet {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");
  private static final String TIMEOUT_HEADER = "X-Timeout-Ms";
  private static final long DEFAULT_TIMEOUT_MILLISECONDS = 3_000;

  /** Part of a caller's timeout that is reserved for sending the response. */
  private static final long RESPONSE_MARGIN_MILLISECONDS = 150;

  private static final long RETRY_AFTER_SECONDS = 1;

  /** Time after which a caller may cancel a job again that is not known, in seconds. */
  private static final long CANCELLATION_RETRY_AFTER_SECONDS = 10;

  /** Limits the memory and the records of callers that cancel jobs that do not exist. */
  private static final int MAXIMUM_UNDEFINED_CANCELLATIONS = 20_000;

  private final NodeClock clock;
  private final FleetState state;
  private final CallAuthorizer authorizer;
  private final IntakeWriter intake;
  private final JobFreshness freshness;
  private final NodeMetrics metrics;
  private final JobLimits limits;
  private final Optional<LoadShedding> loadShedding;
  private final UnsettledJobs unsettledJobs = new UnsettledJobs();
  private boolean closing;
  private int openCallCount;

  JobServlet(HttpDependencies dependencies, CallAuthorizer authorizer) {
    this.clock = dependencies.clock();
    this.state = dependencies.state();
    this.authorizer = authorizer;
    this.intake = dependencies.intake();
    this.freshness = dependencies.freshness();
    this.metrics = dependencies.metrics();
    this.limits = dependencies.jobLimits();
    this.loadShedding = dependencies.loadShedding();
  }

  /** Makes all further responses request that the caller close the connection. */
  void beginClosing() {
    closing = true;
  }

  /** Returns the number of calls that have not been answered. */
  int openCallCount() {
    return openCallCount;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    long startedAt = clock.steadyMilliseconds();
    openCallCount++;
    Either<CallResponse, CallAuthorizer.AuthorizedCall> call = authorizer.authorize(request);
    Promise<CallResponse> response =
        call.isLeft() ? Promise.of(call.getLeft()) : dispatch(request, call.get(), startedAt);
    return response.then(
        (result, error) -> {
          openCallCount--;
          CallResponse sentResponse = error == null ? result : onFailure(request, error);
          log(request, sentResponse, startedAt);
          return Promise.of(sentResponse.toHttpResponse(closing));
        });
  }

  private static CallResponse onFailure(HttpRequest request, Exception error) {
    logger.atWarning().withCause(error).log("event=call_failed path=%s", request.getPath());
    return CallResponse.error(CallResponse.BAD_REQUEST, "the request cannot be read");
  }

  private void log(HttpRequest request, CallResponse response, long startedAt) {
    long duration = clock.steadyMilliseconds() - startedAt;
    metrics.recordResponse(request.getMethod().name().toLowerCase(), response.status(), duration);
    boolean successfulRead =
        request.getMethod() == HttpMethod.GET && response.status() == CallResponse.OK;
    if (!successfulRead) {
      logger.atInfo().log(
          "event=call_answered method=%s path=%s status=%d reason=\"%s\" duration_ms=%d",
          request.getMethod(), request.getPath(), response.status(), response.reason(), duration);
    }
  }

  private Promise<CallResponse> dispatch(
      HttpRequest request, CallAuthorizer.AuthorizedCall call, long startedAt) {
    if (call.rest().isEmpty()) {
      return Promise.of(
          request.getMethod() == HttpMethod.GET
              ? readQueuedCount(call)
              : CallResponse.error(
                  CallResponse.METHOD_NOT_ALLOWED, "only GET is allowed for a queue"));
    }
    if (!JOB_ID.matcher(call.rest()).matches()) {
      return Promise.of(
          CallResponse.error(
              CallResponse.BAD_REQUEST,
              "job id \"" + call.rest() + "\" is not 16 hexadecimal digits"));
    }
    JobId id = new JobId(call.rest());
    return switch (request.getMethod()) {
      case GET -> readPhase(id);
      case DELETE -> cancel(id, () -> remainingMilliseconds(request, call, startedAt));
      case POST -> submit(request, id, startedAt);
      default ->
          Promise.of(
              CallResponse.error(
                  CallResponse.METHOD_NOT_ALLOWED, "method is not POST, GET or DELETE"));
    };
  }

  private CallResponse readQueuedCount(CallAuthorizer.AuthorizedCall call) {
    if (!freshness.isFresh()) {
      return staleResponse();
    }
    int count = state.jobs().queuedCount(call.queue().id());
    return CallResponse.ok(ResponseCodec.writePendingCount(count), "pending " + count);
  }

  private CallResponse staleResponse() {
    return CallResponse.error(
        CallResponse.UNAVAILABLE,
        RETRY_AFTER_SECONDS,
        "the store has not been read for " + freshness.ageMilliseconds() + " ms");
  }

  private Promise<CallResponse> readPhase(JobId id) {
    return find(id)
        .map(
            result ->
                result.fold(
                    errorResponse -> errorResponse,
                    job -> job.map(JobServlet::phaseResponse).orElse(noSuchJobResponse())));
  }

  private static CallResponse noSuchJobResponse() {
    return CallResponse.error(CallResponse.GONE, "no such job");
  }

  private static CallResponse phaseResponse(StoredJob job) {
    return CallResponse.ok(ResponseCodec.writePhase(job.phase()), job.phase().name());
  }

  /**
   * Finds a job; empty if it is not stored, or the response to the call if that is not known. A job
   * that another node has just accepted may not have been read here, so the store is read before a
   * job counts as not stored. An append of it may still be under way nevertheless.
   */
  private Promise<Either<CallResponse, Optional<StoredJob>>> find(JobId id) {
    Optional<StoredJob> knownJob = definedJob(id);
    if (knownJob.isPresent()) {
      return Promise.of(Either.right(knownJob));
    }
    if (intake.isStoreUnavailable()) {
      return Promise.of(Either.left(storeUnavailableResponse()));
    }
    SettablePromise<Either<CallResponse, Optional<StoredJob>>> promise = new SettablePromise<>();
    freshness.refresh().thenAccept(complete -> promise.set(findAfterRefresh(id, complete)));
    return promise;
  }

  private Either<CallResponse, Optional<StoredJob>> findAfterRefresh(JobId id, boolean complete) {
    Optional<StoredJob> foundJob = definedJob(id);
    return foundJob.isPresent() || complete ? Either.right(foundJob) : Either.left(staleResponse());
  }

  private Optional<StoredJob> definedJob(JobId id) {
    return state.jobs().find(id).filter(job -> job.definition().isPresent());
  }

  private long remainingMilliseconds(
      HttpRequest request, CallAuthorizer.AuthorizedCall call, long startedAt) {
    long timeout = call.queue().timeoutMilliseconds();
    if (timeout <= 0) {
      timeout = DEFAULT_TIMEOUT_MILLISECONDS;
    }
    String header = request.getHeader(HttpHeaders.of(TIMEOUT_HEADER));
    if (header != null && header.matches("[0-9]{1,9}")) {
      timeout = Math.min(timeout, Long.parseLong(header));
    }
    return Math.max(
        1, timeout - RESPONSE_MARGIN_MILLISECONDS - (clock.steadyMilliseconds() - startedAt));
  }

  /**
   * Cancels a job.
   *
   * @param remainingMilliseconds returns the time that is left until the response is due
   */
  private Promise<CallResponse> cancel(JobId id, LongSupplier remainingMilliseconds) {
    return find(id)
        .then(
            result ->
                result.isLeft()
                    ? Promise.of(result.getLeft())
                    : cancel(id, result.get(), remainingMilliseconds.getAsLong()));
  }

  private Promise<CallResponse> cancel(
      JobId id, Optional<StoredJob> foundJob, long timeoutMilliseconds) {
    Optional<JobPhase> phase = foundJob.map(StoredJob::phase);
    if (phase.isPresent() && phase.get() != JobPhase.QUEUED && phase.get() != JobPhase.RUNNING) {
      return Promise.of(CallResponse.ok("already " + phase.get()));
    }
    if (intake.isStoreUnavailable()) {
      return Promise.of(storeUnavailableResponse());
    }
    boolean isLimitReached =
        state.undefinedCancellations().count() >= MAXIMUM_UNDEFINED_CANCELLATIONS;
    if (phase.isEmpty() && isLimitReached) {
      return Promise.of(
          CallResponse.error(
              CallResponse.UNAVAILABLE,
              CANCELLATION_RETRY_AFTER_SECONDS,
              "job " + id + " is not known, and too many unknown jobs have been cancelled"));
    }
    return appendCancellation(id, timeoutMilliseconds);
  }

  /**
   * Stores a cancellation, also of a job that is not known: an append of its definition may be
   * under way, at this node or another one, and is executed after the response to the caller. The
   * job is cancelled then, since its cancellation is in the store.
   */
  private Promise<CallResponse> appendCancellation(JobId id, long timeoutMilliseconds) {
    byte[] value = Long.toString(clock.wallClockMilliseconds()).getBytes(StandardCharsets.US_ASCII);
    return append(new KeyedValue(ScheduleKeys.cancellation(id), value), timeoutMilliseconds)
        .map(result -> onCancellationAppended(id, result));
  }

  private CallResponse onCancellationAppended(JobId id, IntakeResult result) {
    if (result != IntakeResult.STORED) {
      return responseOf(result, "");
    }
    state.applyCancellation(id);
    return definedJob(id).isPresent() ? CallResponse.ok("cancelled") : noSuchJobResponse();
  }

  private Promise<IntakeResult> append(KeyedValue record, long timeoutMilliseconds) {
    SettablePromise<IntakeResult> promise = new SettablePromise<>();
    CompletableFuture<IntakeResult> future = intake.append(record, timeoutMilliseconds);
    future.thenAccept(promise::set);
    return promise;
  }

  private static CallResponse storeUnavailableResponse() {
    return CallResponse.error(
        CallResponse.UNAVAILABLE, RETRY_AFTER_SECONDS, "the store does not answer");
  }

  private static CallResponse responseOf(IntakeResult result, String successReason) {
    return switch (result) {
      case STORED -> CallResponse.ok(successReason);
      case NOT_STORED ->
          CallResponse.error(
              CallResponse.UNAVAILABLE, RETRY_AFTER_SECONDS, "the record was not stored in time");
      case UNKNOWN ->
          CallResponse.error(CallResponse.GATEWAY_TIMEOUT, "the store did not answer in time");
    };
  }

  private Promise<CallResponse> submit(HttpRequest request, JobId id, long startedAt) {
    int limit = state.declaration().orElseThrow().maximumBodyBytes();
    return request
        .loadBody(limit)
        .then(
            (body, error) -> {
              if (error != null) {
                return Promise.of(
                    CallResponse.error(
                        CallResponse.CONTENT_TOO_LARGE, "the body is over " + limit + " bytes"));
              }
              return store(request, id, bytesOf(body), startedAt, JobsRead.NOT_TRIED);
            });
  }

  private static byte[] bytesOf(ByteBuf body) {
    return body.getArray();
  }

  /** Whether all stored jobs have been read during a call. */
  private enum JobsRead {
    NOT_TRIED,
    FAILED,
    COMPLETE
  }

  /**
   * Stores a job. Authorizes again, since the declaration may have changed while the body or the
   * stored jobs were read.
   */
  private Promise<CallResponse> store(
      HttpRequest request, JobId id, byte[] body, long startedAt, JobsRead jobsRead) {
    Either<CallResponse, CallAuthorizer.AuthorizedCall> call = authorizer.authorize(request);
    if (call.isLeft()) {
      return Promise.of(call.getLeft());
    }
    if (definedJob(id).isPresent()) {
      return Promise.of(CallResponse.ok("the job is already stored"));
    }
    if (intake.isStoreUnavailable()) {
      return Promise.of(
          unsettledJobs.contains(id)
              ? responseOf(IntakeResult.UNKNOWN, "")
              : storeUnavailableResponse());
    }
    QueuedJob job;
    try {
      job = jobOf(body, call.get());
    } catch (WireException e) {
      return Promise.of(CallResponse.error(CallResponse.BAD_REQUEST, e.getMessage()));
    }
    if (job.getSerializedSize() > limits.maximumDefinitionBytes()) {
      return Promise.of(
          CallResponse.error(
              CallResponse.CONTENT_TOO_LARGE,
              "the job takes "
                  + job.getSerializedSize()
                  + " bytes, more than "
                  + limits.maximumDefinitionBytes()));
    }
    if (jobsRead == JobsRead.NOT_TRIED && mayRefuse(id, job)) {
      return readJobs().then(result -> store(request, id, body, startedAt, result));
    }
    if (jobsRead == JobsRead.COMPLETE && !unsettledJobs.contains(id)) {
      Optional<JobRefusal> refusal = loadShedding.flatMap(shedding -> shedding.refusalOf(id, job));
      if (refusal.isPresent()) {
        return Promise.of(refusedResponse(refusal.get()));
      }
    }
    return appendJob(id, job, remainingMilliseconds(request, call.get(), startedAt));
  }

  private boolean mayRefuse(JobId id, QueuedJob job) {
    return !unsettledJobs.contains(id)
        && loadShedding.map(shedding -> shedding.mayRefuse(id, job)).orElse(false);
  }

  /**
   * Reads the jobs that other nodes have stored. A refusal promises that the job never runs, so the
   * job must not be among them, and their teams' rates must be counted.
   */
  private Promise<JobsRead> readJobs() {
    SettablePromise<JobsRead> promise = new SettablePromise<>();
    freshness
        .refresh()
        .thenAccept(complete -> promise.set(complete ? JobsRead.COMPLETE : JobsRead.FAILED));
    return promise;
  }

  private static CallResponse refusedResponse(JobRefusal refusal) {
    return CallResponse.error(
        CallResponse.TOO_MANY_REQUESTS,
        refusal.retryAfterSeconds(),
        "the team exceeds its rate, and the pool cannot complete the job in time: predicted wait "
            + refusal.predictedWaitMilliseconds()
            + " ms");
  }

  private Promise<CallResponse> appendJob(JobId id, QueuedJob job, long timeoutMilliseconds) {
    unsettledJobs.onAppendBegun(id);
    KeyedValue record = new KeyedValue(ScheduleKeys.job(id), job.toByteArray());
    return append(record, timeoutMilliseconds)
        .map(
            result -> {
              unsettledJobs.onAppendEnded(id, result);
              if (result == IntakeResult.STORED) {
                state.applyJob(id, job);
              }
              return responseOf(outcomeOf(id, result), "stored");
            });
  }

  /** Another append of the job may still be executed, although this one was not sent. */
  private IntakeResult outcomeOf(JobId id, IntakeResult result) {
    return result == IntakeResult.NOT_STORED && unsettledJobs.contains(id)
        ? IntakeResult.UNKNOWN
        : result;
  }

  private QueuedJob jobOf(byte[] body, CallAuthorizer.AuthorizedCall call) throws WireException {
    return SubmissionCodec.read(body, limits.maximumTasks())
        .setQueue(call.queue().id().value())
        .setOrganisation(call.team().map(TeamId::value).orElse(""))
        .setAcceptedMilliseconds(clock.wallClockMilliseconds())
        .setPolicy(call.queue().policy())
        .build();
  }
}
