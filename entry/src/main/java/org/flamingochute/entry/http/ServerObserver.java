package org.flamingochute.entry.http;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import java.util.concurrent.atomic.AtomicInteger;
import org.flamingochute.decision.misc.LogText;

/** Counts the open connections of a server and reports messages that are not HTTP. */
final class ServerObserver implements HttpServer.Inspector {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final FrontMetrics metrics;
  private final AtomicInteger connections;
  private final AcceptObserver acceptObserver = new AcceptObserver();

  /**
   * Creates an observer of one server.
   *
   * @param connections counts the open connections of all servers
   */
  ServerObserver(FrontMetrics metrics, AtomicInteger connections) {
    this.metrics = metrics;
    this.connections = connections;
  }

  /** Returns the observer of the server's sockets. */
  AcceptObserver acceptObserver() {
    return acceptObserver;
  }

  @Override
  public void onAccept(HttpServerConnection connection) {
    connections.incrementAndGet();
    connection.setUserData(new CallerConnection(acceptObserver.accepted()));
  }

  @Override
  public void onDisconnect(HttpServerConnection connection) {
    connections.decrementAndGet();
  }

  @Override
  public void onMalformedHttpRequest(
      HttpServerConnection connection, MalformedHttpException error, byte[] content) {
    countMalformed(connection, error);
  }

  private void countMalformed(HttpServerConnection connection, Exception error) {
    metrics.malformed().inc();
    logger.atInfo().log(
        "event=malformed_http peer=%s message=%s",
        connection.getRemoteAddress().getHostAddress(), LogText.quoted(error.getMessage()));
  }

  @Override
  public void onServletException(HttpRequest request, Exception error) {
    metrics.failures().inc();
    logger.atSevere().withCause(error).log("event=request_failed");
  }

  @Override
  public void onHttpRequest(HttpRequest request) {}

  @Override
  public void onHttpResponse(HttpRequest request, HttpResponse response) {}

  @Override
  public void onHttpResponseComplete(HttpServerConnection connection) {
    CallerConnection.answerWritten(connection);
  }

  @Override
  public void onHttpError(HttpServerConnection connection, Exception error) {
    if (error instanceof MalformedHttpException) {
      countMalformed(connection, error);
    }
  }

  @Override
  public <T extends HttpServer.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }
}
