package org.flamingochute.entry.http;

import io.activej.async.exception.AsyncCloseException;
import io.activej.http.HttpRequest;
import io.activej.http.HttpServerConnection;
import io.activej.net.socket.tcp.TcpSocket;

/**
 * State of a caller's connection: its socket, and whether it is closed after the current response.
 * Accessed only on the event loop of the connection.
 */
final class CallerConnection {
  private final TcpSocket socket;
  private boolean closesAfterResponse;

  CallerConnection(TcpSocket socket) {
    this.socket = socket;
  }

  /** Marks the connection of a request to be closed after the response. */
  static void closeAfterResponse(HttpRequest request) {
    if (request.getConnection().getUserData() instanceof CallerConnection connection) {
      connection.closesAfterResponse = true;
    }
  }

  /**
   * Returns whether the connection of a request is to be closed after an earlier response. Requests
   * that were already read from it are not served.
   */
  static boolean isClosing(HttpRequest request) {
    return request.getConnection().getUserData() instanceof CallerConnection connection
        && connection.closesAfterResponse;
  }

  /** Closes the connection after a response was written, if it is marked to be closed. */
  static void onResponseWritten(HttpServerConnection connection) {
    if (connection.getUserData() instanceof CallerConnection caller && caller.closesAfterResponse) {
      caller.socket.closeEx(
          new AsyncCloseException("the connection is closed after its last response"));
    }
  }
}
