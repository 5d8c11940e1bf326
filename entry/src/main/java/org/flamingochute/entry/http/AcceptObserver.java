package org.flamingochute.entry.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;

/**
 * Remembers the socket that a server accepted last.
 *
 * <p>ActiveJ tells of the socket and right after, in the same call, of the HTTP connection on it,
 * so that the two can be put together; the connection alone gives no way to close it.
 */
final class AcceptObserver implements TcpSocket.Inspector {
  private TcpSocket accepted;

  /** Returns the socket that was accepted last. */
  TcpSocket accepted() {
    return accepted;
  }

  @Override
  public void onConnect(TcpSocket socket) {
    accepted = socket;
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
