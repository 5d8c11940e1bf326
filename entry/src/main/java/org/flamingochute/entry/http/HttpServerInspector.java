package org.flamingochute.entry.http;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import java.util.concurrent.atomic.AtomicInteger;
import org.flamingochute.decision.misc.LogText;

/**
 * Counts the open connections of a server, records malformed HTTP messages and exceptions, and
 * closes connections that are marked to be closed after a response.
 */
final class HttpServerInspector implements HttpServer.Inspector {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final HttpServerMetrics metrics;
  private final AtomicInteger openConnections;
  private final AcceptedSocketInspector acceptedSocketInspector = new AcceptedSocketInspector();

  /**
   * Creates an inspector of one server.
   *
   * @param openConnections counter of the open connections of all servers
   */
  HttpServerInspector(HttpServerMetrics metrics, AtomicInteger openConnections) {
    this.metrics = metrics;
    this.openConnections = openConnections;
  }

  /** Returns the inspector of the server's sockets. */
  AcceptedSocketInspector acceptedSocketInspector() {
    return acceptedSocketInspector;
  }

  @Override
  public void onAccept(HttpServerConnection connection) {
    openConnections.incrementAndGet();
    connection.setUserData(new CallerConnection(acceptedSocketInspector.lastAccepted()));
  }

  @Override
  public void onDisconnect(HttpServerConnection connection) {
    openConnections.decrementAndGet();
  }

  @Override
  public void onMalformedHttpRequest(
      HttpServerConnection connection, MalformedHttpException error, byte[] content) {
    recordMalformed(connection, error);
  }

  private void recordMalformed(HttpServerConnection connection, Exception error) {
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
    CallerConnection.onResponseWritten(connection);
  }

  @Override
  public void onHttpError(HttpServerConnection connection, Exception error) {
    if (error instanceof MalformedHttpException) {
      recordMalformed(connection, error);
    }
  }

  @Override
  public <T extends HttpServer.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }
}
