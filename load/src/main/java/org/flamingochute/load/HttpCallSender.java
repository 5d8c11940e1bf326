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
 * Sends attempts of calls over HTTP and determines their outcomes.
 *
 * <p>The time until the deadline is sent to the entry. The response is awaited slightly longer, so
 * that a response sent at the deadline is still received.
 */
public final class HttpCallSender implements CallSender {

  private static final String KEY_HEADER = "Flamingochute-Key";
  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
  private static final String OUTCOME_NOT_RUN = "not-run";
  private static final String OUTCOME_UNKNOWN = "unknown";
  private static final long RESPONSE_GRACE_MILLISECONDS = 500;
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final byte[] EMPTY_BODY = new byte[0];

  private final ExchangeClient client;
  private final String pathPrefix;

  /**
   * Creates a sender.
   *
   * @param pathPrefix path before the name of the service: {@code /services/} for an entry
   */
  public HttpCallSender(ExchangeClient client, String pathPrefix) {
    this.client = client;
    this.pathPrefix = pathPrefix;
  }

  @Override
  public CompletableFuture<AttemptOutcome> send(
      NumericAddress address, Call call, long timeoutMilliseconds) {
    ExchangeRequest request =
        new ExchangeRequest(
            address,
            call.isOrder() ? HttpMethod.POST : HttpMethod.GET,
            pathPrefix + call.service() + "/" + call.tag(),
            createHeaders(call, timeoutMilliseconds),
            EMPTY_BODY,
            timeoutMilliseconds + RESPONSE_GRACE_MILLISECONDS,
            call.isOrder() ? ConnectionReuse.ALLOWED : ConnectionReuse.ALLOWED_WITH_RETRY,
            Optional.empty());
    return client.send(request).thenApply(result -> toOutcome(call, result));
  }

  private static List<HeaderField> createHeaders(Call call, long timeoutMilliseconds) {
    List<HeaderField> headers = new ArrayList<>();
    headers.add(new HeaderField(StandInHeaders.REQUEST_TAG, call.tag()));
    headers.add(new HeaderField(StandInHeaders.TEAM_TAG, call.team()));
    headers.add(
        new HeaderField(StandInHeaders.RESPONSE_BYTES, Integer.toString(call.responseBytes())));
    headers.add(
        new HeaderField(StandInHeaders.TIMEOUT_MILLISECONDS, Long.toString(timeoutMilliseconds)));
    if (!call.key().isEmpty()) {
      headers.add(new HeaderField(KEY_HEADER, call.key()));
    }
    if (call.isOrder()) {
      headers.add(new HeaderField(IDEMPOTENCY_KEY_HEADER, call.tag()));
    }
    return headers;
  }

  /** Returns the outcome of an attempt. */
  static AttemptOutcome toOutcome(Call call, ExchangeResult result) {
    return switch (result) {
      case ExchangeResult.NotRun busyRefusal when busyRefusal.busy() ->
          new AttemptOutcome.NotRun(STATUS_UNAVAILABLE);
      case ExchangeResult.NotRun notRun -> new AttemptOutcome.NoConnection(notRun.detail());
      case ExchangeResult.Unknown unknown ->
          new AttemptOutcome.Unknown(0, unknown.cause() + ": " + unknown.detail());
      case ExchangeResult.Answered answered -> toResponseOutcome(call, answered);
    };
  }

  private static AttemptOutcome toResponseOutcome(Call call, ExchangeResult.Answered answered) {
    String outcome = StandInHeaders.find(answered.headers(), StandInHeaders.OUTCOME, "");
    if (outcome.equals(OUTCOME_NOT_RUN)) {
      return new AttemptOutcome.NotRun(answered.status());
    }
    if (outcome.equals(OUTCOME_UNKNOWN) || answered.status() != STATUS_OK) {
      return new AttemptOutcome.Unknown(answered.status(), "status " + answered.status());
    }
    boolean complete = TaggedBody.isCompleteBodyFor(call.tag(), answered.body());
    return new AttemptOutcome.Answered(answered.status(), complete);
  }
}
