package org.flamingochute.load;

import io.activej.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.http.ConnectionReuse;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeRequest;
import org.flamingochute.platform.http.ExchangeResult;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.standin.StandInHeaders;
import org.flamingochute.standin.TaggedBody;

/**
 * Sends the tries of calls over HTTP and judges the answers.
 *
 * <p>The entry is told the time until the deadline. The answer is waited for a little longer, so
 * that what the entry says at the deadline still arrives.
 */
public final class HttpCallSender implements CallSender {

  private static final String KEY = "Flamingochute-Key";
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final String NOT_RUN = "not-run";
  private static final String UNKNOWN = "unknown";
  private static final long GRACE_MILLISECONDS = 500;
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final byte[] EMPTY = new byte[0];

  private final ExchangeClient client;
  private final String pathPrefix;

  /**
   * Creates a sender.
   *
   * @param pathPrefix what stands before the service in the path: {@code /services/} for an entry
   */
  public HttpCallSender(ExchangeClient client, String pathPrefix) {
    this.client = client;
    this.pathPrefix = pathPrefix;
  }

  @Override
  public CompletableFuture<TryOutcome> send(
      NumericAddress address, Call call, long timeoutMilliseconds) {
    ExchangeRequest request =
        new ExchangeRequest(
            address,
            call.isOrder() ? HttpMethod.POST : HttpMethod.GET,
            pathPrefix + call.service() + "/" + call.tag(),
            headersOf(call, timeoutMilliseconds),
            EMPTY,
            timeoutMilliseconds + GRACE_MILLISECONDS,
            call.isOrder() ? ConnectionReuse.ALLOWED : ConnectionReuse.ALLOWED_WITH_RETRY,
            Optional.empty());
    return client.send(request).thenApply(result -> judge(call, result));
  }

  private static List<HeaderField> headersOf(Call call, long timeoutMilliseconds) {
    List<HeaderField> headers = new ArrayList<>();
    headers.add(new HeaderField(StandInHeaders.REQUEST_TAG, call.tag()));
    headers.add(new HeaderField(StandInHeaders.TEAM_TAG, call.team()));
    headers.add(new HeaderField(StandInHeaders.ANSWER_BYTES, Integer.toString(call.answerBytes())));
    headers.add(
        new HeaderField(StandInHeaders.TIMEOUT_MILLISECONDS, Long.toString(timeoutMilliseconds)));
    if (!call.key().isEmpty()) {
      headers.add(new HeaderField(KEY, call.key()));
    }
    if (call.isOrder()) {
      headers.add(new HeaderField(IDEMPOTENCY_KEY, call.tag()));
    }
    return headers;
  }

  /** Judges the result of one try. */
  static TryOutcome judge(Call call, ExchangeResult result) {
    return switch (result) {
      case ExchangeResult.NotRun refused when refused.busy() ->
          new TryOutcome.NotRun(STATUS_UNAVAILABLE);
      case ExchangeResult.NotRun notRun -> new TryOutcome.NoConnection(notRun.detail());
      case ExchangeResult.Unknown unknown ->
          new TryOutcome.Unknown(0, unknown.cause() + ": " + unknown.detail());
      case ExchangeResult.Answered answered -> judgeAnswer(call, answered);
    };
  }

  private static TryOutcome judgeAnswer(Call call, ExchangeResult.Answered answered) {
    String outcome = StandInHeaders.find(answered.headers(), StandInHeaders.OUTCOME, "");
    if (outcome.equals(NOT_RUN)) {
      return new TryOutcome.NotRun(answered.status());
    }
    if (outcome.equals(UNKNOWN) || answered.status() != STATUS_OK) {
      return new TryOutcome.Unknown(answered.status(), "status " + answered.status());
    }
    boolean whole = TaggedBody.isCompleteBodyFor(call.tag(), answered.body());
    return new TryOutcome.Answered(answered.status(), whole);
  }
}
