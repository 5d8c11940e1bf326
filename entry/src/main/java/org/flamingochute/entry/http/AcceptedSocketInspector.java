package org.flamingochute.entry.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;

/**
 * Records the most recently accepted socket of a server.
 *
 * <p>ActiveJ reports the accepted socket and, later in the same call, the HTTP connection on it, so
 * the last accepted socket is that of the connection. The socket is needed because an HTTP
 * connection cannot be closed through its own interface.
 */
final class AcceptedSocketInspector implements TcpSocket.Inspector {
  private TcpSocket lastAccepted;

  /** Returns the most recently accepted socket. */
  TcpSocket lastAccepted() {
    return lastAccepted;
  }

  @Override
  public void onConnect(TcpSocket socket) {
    lastAccepted = socket;
  }

  @Override
  public void onReadTimeout(TcpSocket socket) {}

  @Override
  public void onRead(TcpSocket socket, ByteBuf buffer) {}

  @Override
  public void onReadEndOfStream(TcpSocket socket) {}

  @Override
  public void onReadError(TcpSocket socket, IOException error) {}

  @Override
  public void onWriteTimeout(TcpSocket socket) {}

  @Override
  public void onWrite(TcpSocket socket, ByteBuf buffer, int bytes) {}

  @Override
  public void onWriteError(TcpSocket socket, IOException error) {}

  @Override
  public void onDisconnect(TcpSocket socket) {}

  @Override
  public <T extends TcpSocket.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }
}
