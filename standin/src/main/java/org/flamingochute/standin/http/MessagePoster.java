package org.flamingochute.standin.http;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsProtocol;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.dns.protocol.DnsTransaction;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.util.concurrent.CompletableFuture;

/** Posts messages as JSON to other stand-in processes. */
final class MessagePoster {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Eventloop loop;
  private final HttpClient client;

  /** Resolves numeric addresses only. */
  private static final class NumericAddresses implements IDnsClient {

    @Override
    public Promise<DnsResponse> resolve(DnsQuery query) {
      DnsResponse literal = IDnsClient.resolveFromQuery(query);
      if (literal != null) {
        return Promise.of(literal);
      }
      return Promise.of(
          DnsResponse.ofFailure(
              DnsTransaction.of((short) 0, query), DnsProtocol.ResponseErrorCode.NAME_ERROR));
    }

    @Override
    public void close() {}
  }

  /** Creates a poster whose connections live on an event loop. */
  MessagePoster(Eventloop loop) {
    this.loop = loop;
    this.client = HttpClient.create(loop, new NumericAddresses());
  }

  /**
   * Posts a message.
   *
   * @return the status of the answer, or an exceptional completion when there was none
   */
  CompletableFuture<Integer> post(String address, String path, MessageOrBuilder message) {
    CompletableFuture<Integer> status = new CompletableFuture<>();
    String body;
    try {
      body = JsonFormat.printer().print(message);
    } catch (InvalidProtocolBufferException e) {
      status.completeExceptionally(e);
      return status;
    }
    HttpRequest request = HttpRequest.post("http://" + address + path).withBody(body).build();
    loop.execute(
        () ->
            client
                .request(request)
                .whenResult(response -> status.complete(response.getCode()))
                .whenException(status::completeExceptionally));
    status.exceptionally(cause -> logFailure(address, path, cause));
    return status;
  }

  private static Integer logFailure(String address, String path, Throwable cause) {
    logger.atWarning().log(
        "event=post_failed address=%s path=%s detail=\"%s\"", address, path, cause.getMessage());
    return 0;
  }
}
