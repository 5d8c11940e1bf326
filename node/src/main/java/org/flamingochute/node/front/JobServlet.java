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
import java.util.regex.Pattern;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.NodeMetrics;
import org.flamingochute.node.store.IntakeResult;
import org.flamingochute.node.store.IntakeWriter;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.platform.wire.AnswerCodec;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.SubmissionCodec;
import org.flamingochute.platform.wire.WireException;
import org.flamingochute.scheduling.job.JobEntry;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.schema.scheduling.QueuedJob;

/** Answers callers: takes jobs in, withdraws them and tells how far they are. */
final class JobServlet implements AsyncServlet {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");
  private static final String CALLER_TIMEOUT = "X-Timeout-Ms";
  private static final long DEFAULT_TIMEOUT_MILLISECONDS = 3_000;

  /** Part of a caller's time that is left for the answer's way. */
  private static final long ANSWER_MARGIN_MILLISECONDS = 150;

  private static final long RETRY_SECONDS = 1;

  private final NodeClock clock;
  private final FleetState state;
  private final CallAuthorization authorization;
  private final IntakeWriter intake;
  private final JobKnowledge knowledge;
  private final NodeMetrics metrics;
  private final JobLimits limits;
  private boolean closing;
  private int underWay;

  JobServlet(FrontParts parts, CallAuthorization authorization) {
    this.clock = parts.clock();
    this.state = parts.state();
    this.authorization = authorization;
    this.intake = parts.intake();
    this.knowledge = parts.knowledge();
    this.metrics = parts.metrics();
    this.limits = parts.jobLimits();
  }

  /** Asks callers from now on to close their connections after the answer. */
  void beginClosing() {
    closing = true;
  }

  /** Returns the calls that have not been answered. */
  int underWay() {
    return underWay;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    long began = clock.steady();
    underWay++;
    Either<Answer, CallAuthorization.Authorized> call = authorization.authorize(request);
    Promise<Answer> answer =
        call.isLeft() ? Promise.of(call.getLeft()) : dispatch(request, call.get(), began);
    return answer.then(
        (result, error) -> {
          underWay--;
          Answer sent = error == null ? result : failed(request, error);
          log(request, sent, began);
          return Promise.of(sent.toResponse(closing));
        });
  }

  private static Answer failed(HttpRequest request, Exception error) {
    logger.atWarning().withCause(error).log("event=call_failed path=%s", request.getPath());
    return Answer.refused(Answer.BAD_REQUEST, "the request cannot be read");
  }

  private void log(HttpRequest request, Answer answer, long began) {
    long duration = clock.steady() - began;
    metrics.answered(request.getMethod().name().toLowerCase(), answer.status(), duration);
    boolean plainRead = request.getMethod() == HttpMethod.GET && answer.status() == Answer.OK;
    if (!plainRead) {
      logger.atInfo().log(
          "event=call_answered method=%s path=%s status=%d reason=\"%s\" duration_ms=%d",
          request.getMethod(), request.getPath(), answer.status(), answer.reason(), duration);
    }
  }

  private Promise<Answer> dispatch(
      HttpRequest request, CallAuthorization.Authorized call, long began) {
    if (call.rest().isEmpty()) {
      return Promise.of(
          request.getMethod() == HttpMethod.GET
              ? pending(call)
              : Answer.refused(Answer.METHOD_NOT_ALLOWED, "a queue can only be read"));
    }
    if (!JOB_ID.matcher(call.rest()).matches()) {
      return Promise.of(
          Answer.refused(
              Answer.BAD_REQUEST, "job id \"" + call.rest() + "\" is not 16 hexadecimal digits"));
    }
    JobId id = new JobId(call.rest());
    return switch (request.getMethod()) {
      case GET -> phase(id);
      case DELETE -> cancel(id, patience(request, call, began));
      case POST -> submit(request, id, began);
      default ->
          Promise.of(Answer.refused(Answer.METHOD_NOT_ALLOWED, "method is not POST, GET, DELETE"));
    };
  }

  private Answer pending(CallAuthorization.Authorized call) {
    if (!knowledge.isFresh()) {
      return notFresh();
    }
    int count = state.jobs().queuedCount(call.queue().id());
    return Answer.ok(AnswerCodec.pending(count), "pending " + count);
  }

  private Answer notFresh() {
    return Answer.refused(
        Answer.UNAVAILABLE,
        RETRY_SECONDS,
        "the store was not read for " + knowledge.ageMilliseconds() + " ms");
  }

  private Promise<Answer> phase(JobId id) {
    return find(id).map(found -> found.fold(refusal -> refusal, JobServlet::phaseOf));
  }

  private static Answer phaseOf(JobEntry entry) {
    return Answer.ok(AnswerCodec.phase(entry.phase()), entry.phase().name());
  }

  /**
   * Finds a job, or the answer to a call for a job that cannot be found. A job that another node
   * has just accepted is not known here yet, so the store is asked before the answer is that it
   * does not exist.
   */
  private Promise<Either<Answer, JobEntry>> find(JobId id) {
    Optional<JobEntry> known = definedJob(id);
    if (known.isPresent()) {
      return Promise.of(Either.right(known.get()));
    }
    if (intake.isStoreLost()) {
      return Promise.of(Either.left(storeLost()));
    }
    SettablePromise<Either<Answer, JobEntry>> promise = new SettablePromise<>();
    knowledge.refresh().thenAccept(complete -> promise.set(findAfterRefresh(id, complete)));
    return promise;
  }

  private Either<Answer, JobEntry> findAfterRefresh(JobId id, boolean complete) {
    Optional<JobEntry> found = definedJob(id);
    if (found.isPresent()) {
      return Either.right(found.get());
    }
    return Either.left(complete ? Answer.refused(Answer.GONE, "no such job") : notFresh());
  }

  private Optional<JobEntry> definedJob(JobId id) {
    return state.jobs().find(id).filter(entry -> entry.definition().isPresent());
  }

  private long patience(HttpRequest request, CallAuthorization.Authorized call, long began) {
    long timeout = call.queue().timeoutMilliseconds();
    if (timeout <= 0) {
      timeout = DEFAULT_TIMEOUT_MILLISECONDS;
    }
    String header = request.getHeader(HttpHeaders.of(CALLER_TIMEOUT));
    if (header != null && header.matches("[0-9]{1,9}")) {
      timeout = Math.min(timeout, Long.parseLong(header));
    }
    return Math.max(1, timeout - ANSWER_MARGIN_MILLISECONDS - (clock.steady() - began));
  }

  private Promise<Answer> cancel(JobId id, long patience) {
    return find(id)
        .then(
            found ->
                found.isLeft()
                    ? Promise.of(found.getLeft())
                    : cancelFound(id, found.get().phase(), patience));
  }

  private Promise<Answer> cancelFound(JobId id, JobPhase phase, long patience) {
    if (phase != JobPhase.QUEUED && phase != JobPhase.RUNNING) {
      return Promise.of(Answer.ok("already " + phase));
    }
    if (intake.isStoreLost()) {
      return Promise.of(storeLost());
    }
    byte[] value = Long.toString(clock.wallClockMilliseconds()).getBytes(StandardCharsets.US_ASCII);
    return append(new KeyedValue(ScheduleKeys.cancellation(id), value), patience)
        .map(
            result -> {
              if (result == IntakeResult.STORED) {
                state.cancelJob(id);
              }
              return answerOf(result, "cancelled");
            });
  }

  private Promise<IntakeResult> append(KeyedValue record, long patience) {
    SettablePromise<IntakeResult> promise = new SettablePromise<>();
    CompletableFuture<IntakeResult> future = intake.append(record, patience);
    future.thenAccept(promise::set);
    return promise;
  }

  private static Answer storeLost() {
    return Answer.refused(Answer.UNAVAILABLE, RETRY_SECONDS, "the store does not answer");
  }

  private static Answer answerOf(IntakeResult result, String done) {
    return switch (result) {
      case STORED -> Answer.ok(done);
      case NOT_STORED ->
          Answer.refused(Answer.UNAVAILABLE, RETRY_SECONDS, "the store refused it in time");
      case UNKNOWN -> Answer.refused(Answer.TIMEOUT, "the store did not answer in time");
    };
  }

  private Promise<Answer> submit(HttpRequest request, JobId id, long began) {
    int limit = state.declaration().orElseThrow().maximumBodyBytes();
    return request
        .loadBody(limit)
        .then(
            (body, error) -> {
              if (error != null) {
                return Promise.of(
                    Answer.refused(Answer.TOO_LARGE, "the body is over " + limit + " bytes"));
              }
              return store(request, id, bytesOf(body), began);
            });
  }

  private static byte[] bytesOf(ByteBuf body) {
    return body.getArray();
  }

  /** Judges again after the body was read, since the declaration may have changed meanwhile. */
  private Promise<Answer> store(HttpRequest request, JobId id, byte[] body, long began) {
    Either<Answer, CallAuthorization.Authorized> call = authorization.authorize(request);
    if (call.isLeft()) {
      return Promise.of(call.getLeft());
    }
    if (definedJob(id).isPresent()) {
      return Promise.of(Answer.ok("known already"));
    }
    if (intake.isStoreLost()) {
      return Promise.of(storeLost());
    }
    QueuedJob job;
    try {
      job = jobOf(body, call.get());
    } catch (WireException e) {
      return Promise.of(Answer.refused(Answer.BAD_REQUEST, e.getMessage()));
    }
    if (job.getSerializedSize() > limits.maximumDefinitionBytes()) {
      return Promise.of(
          Answer.refused(
              Answer.TOO_LARGE,
              "the job takes "
                  + job.getSerializedSize()
                  + " bytes, more than "
                  + limits.maximumDefinitionBytes()));
    }
    KeyedValue record = new KeyedValue(ScheduleKeys.job(id), job.toByteArray());
    return append(record, patience(request, call.get(), began))
        .map(
            result -> {
              if (result == IntakeResult.STORED) {
                state.storeJob(id, job);
              }
              return answerOf(result, "stored");
            });
  }

  private QueuedJob jobOf(byte[] body, CallAuthorization.Authorized call) throws WireException {
    return SubmissionCodec.read(body, limits.maximumTasks())
        .setQueue(call.queue().id().value())
        .setOrganisation(call.team().map(TeamId::value).orElse(""))
        .setAcceptedMilliseconds(clock.wallClockMilliseconds())
        .setPolicy(call.queue().policy())
        .build();
  }
}
