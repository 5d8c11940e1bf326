package org.flamingochute.entry.http;

import io.activej.async.exception.AsyncCloseException;
import io.activej.http.HttpRequest;
import io.activej.http.HttpServerConnection;
import io.activej.net.socket.tcp.TcpSocket;

/**
 * What is remembered about a caller's connection: its socket, and whether it ends with the answer
 * under way. Used on the connection's event loop.
 */
final class CallerConnection {
  private final TcpSocket socket;
  private boolean endsWithAnswer;

  CallerConnection(TcpSocket socket) {
    this.socket = socket;
  }

  /** Has the connection of a request closed after its answer. */
  static void endWithAnswer(HttpRequest request) {
    if (request.getConnection().getUserData() instanceof CallerConnection connection) {
      connection.endsWithAnswer = true;
    }
  }

  /**
   * Tells whether the connection of a request ends with an earlier answer. What follows on it may
   * have been read already, and is not served.
   */
  static boolean isEnding(HttpRequest request) {
    return request.getConnection().getUserData() instanceof CallerConnection connection
        && connection.endsWithAnswer;
  }

  /** An answer was written; closes the connection when it ends with it. */
  static void answerWritten(HttpServerConnection connection) {
    if (connection.getUserData() instanceof CallerConnection caller && caller.endsWithAnswer) {
      caller.socket.closeEx(new AsyncCloseException("the connection ends with its answer"));
    }
  }
}
