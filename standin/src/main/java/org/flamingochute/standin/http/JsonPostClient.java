package org.flamingochute.standin.http;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.activej.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.platform.http.ConnectionReuse;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.ExchangeRequest;
import org.flamingochute.platform.http.ExchangeResult;
import org.flamingochute.platform.http.NumericAddress;

/** Sends messages as JSON in POST requests to other stand-in processes. */
final class JsonPostClient implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TIMEOUT_MILLISECONDS = 5000;
  private static final int STATUS_OK = 200;

  private final ExchangeClient client;

  /** Creates a client whose connections use a group of event loops. */
  JsonPostClient(EventLoopGroup group) {
    client = new ExchangeClient(group, ExchangeLimits.builder().build(), ExchangeListener.NONE);
  }

  /**
   * Sends a message.
   *
   * @return empty on success, otherwise the cause of the failure
   */
  CompletableFuture<Optional<String>> post(String address, String path, MessageOrBuilder message) {
    Optional<NumericAddress> target = NumericAddress.parse(address);
    if (target.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.of("not an IP address and port"));
    }
    byte[] body;
    try {
      body = JsonFormat.printer().print(message).getBytes(StandardCharsets.UTF_8);
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.completedFuture(Optional.of(e.getMessage()));
    }
    ExchangeRequest request =
        new ExchangeRequest(
            target.get(),
            HttpMethod.POST,
            path,
            List.of(),
            body,
            TIMEOUT_MILLISECONDS,
            ConnectionReuse.ALLOWED_WITH_RETRY,
            Optional.empty());
    return client.send(request).thenApply(result -> toFailure(request, result));
  }

  private static Optional<String> toFailure(ExchangeRequest request, ExchangeResult result) {
    if (result instanceof ExchangeResult.Answered answered && answered.status() == STATUS_OK) {
      return Optional.empty();
    }
    logger.atWarning().log(
        "event=post_failed address=%s path=%s detail=%s",
        request.address().text(), request.path(), LogText.quoted(result));
    return Optional.of(result.toString());
  }

  @Override
  public void close() {
    client.close();
  }
}
