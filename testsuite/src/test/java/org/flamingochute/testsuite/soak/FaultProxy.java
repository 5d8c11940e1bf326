package org.flamingochute.testsuite.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * A loopback proxy in front of one server. It forwards requests one at a time for each connection,
 * and treats each as the current rule says. While it is closed, connections to its port are refused
 * by the system. While it is suspended, requests on connections that no server has served wait for
 * the next server.
 */
final class FaultProxy implements AutoCloseable {
  /** Header that marks a request that was delivered after its sender had given up. */
  static final String LATE_HEADER = "X-Delivered-Late";

  /** Header with the time at which the proxy received a request. */
  static final String RECEIVED_HEADER = "X-Received-At";

  private static final int BACKLOG = 128;
  private static final int MAXIMUM_BINDINGS = 600;
  private static final long BINDING_PAUSE_MILLISECONDS = 100;
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;
  private static final byte[] UNAVAILABLE =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
          .getBytes(StandardCharsets.ISO_8859_1);

  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private final int port;
  private volatile ServerSocket listener;
  private final AtomicInteger cuts = new AtomicInteger();
  private Socket placeholder;
  private boolean isSuspended;
  private volatile InetSocketAddress server;
  private volatile Function<HttpMessage, Treatment> rule = request -> new Treatment.Forward(0);

  /** How the proxy treats a request. */
  sealed interface Treatment {
    /** Forwards the request after a delay, and returns its response. */
    record Forward(long delayMilliseconds) implements Treatment {}

    /** Resets the connection; the request is not forwarded. */
    record Reset() implements Treatment {}

    /** Forwards the request, discards the response, and resets the connection. */
    record LoseAnswer() implements Treatment {}

    /** Forwards the request, discards the response, and leaves the connection open. */
    record SilenceAnswer() implements Treatment {}

    /** Neither forwards the request nor responds. */
    record Silence() implements Treatment {}

    /** Refuses the request with status 503; it is not forwarded. */
    record Refuse() implements Treatment {}

    /**
     * Never responds, and delivers the request after a delay.
     *
     * @param onlyThisServer whether the request is dropped if the server has been replaced since;
     *     it always is if this server has served the connection before
     */
    record DeliverLate(long delayMilliseconds, boolean onlyThisServer) implements Treatment {}
  }

  /** A connection of a client. */
  private static final class Connection {
    private final Socket client;

    /** Whether a server has received a request on it, so that it ends with that server. */
    private volatile boolean isServed;

    /** Whether a request was received and not answered. */
    private volatile boolean hasCall;

    /** Whether it stays open without a response for good. */
    private volatile boolean isSilent;

    private Connection(Socket client) {
      this.client = client;
    }
  }

  FaultProxy(String serverAddress) throws IOException {
    setServer(serverAddress);
    listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    port = listener.getLocalPort();
    acceptFrom(listener);
  }

  String hostAndPort() {
    return "127.0.0.1:" + port;
  }

  void setServer(String address) {
    int colon = address.indexOf(':');
    server =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  void setRule(Function<HttpMessage, Treatment> newRule) {
    rule = newRule;
  }

  void clearRule() {
    rule = request -> new Treatment.Forward(0);
  }

  /** Refuses new connections and resets the existing ones, until {@link #reopen}. */
  synchronized void refuse() throws IOException, InterruptedException {
    if (listener.isClosed()) {
      return;
    }
    listener.close();
    resetAll();
    // A socket that is bound but does not listen keeps the port from other processes.
    placeholder = new Socket();
    placeholder.setReuseAddress(true);
    bind(() -> placeholder.bind(address()));
  }

  /**
   * Ends the connections that the server has served, by a reset or by silence, and lets requests on
   * the others and on new ones wait for the next server, until {@link #reopen}.
   *
   * @param callsEndSilently whether connections with a call in progress end by silence
   * @param idleEndSilently whether the others do
   */
  synchronized void suspend(boolean callsEndSilently, boolean idleEndSilently) {
    isSuspended = true;
    for (Connection connection : connections) {
      boolean endsSilently = connection.hasCall ? callsEndSilently : idleEndSilently;
      if (connection.isServed && endsSilently) {
        connection.isSilent = true;
      } else if (connection.isServed) {
        reset(connection.client);
      }
    }
  }

  private synchronized void awaitServer() throws InterruptedException {
    while (isSuspended) {
      wait();
    }
  }

  /** Lets nothing through in either direction until {@link #mend}; cuts may overlap. */
  void cut() {
    cuts.incrementAndGet();
  }

  void mend() {
    cuts.decrementAndGet();
  }

  synchronized void reopen() throws IOException, InterruptedException {
    isSuspended = false;
    notifyAll();
    if (!listener.isClosed()) {
      return;
    }
    ServerSocket newListener = new ServerSocket();
    newListener.setReuseAddress(true);
    bind(() -> newListener.bind(address(), BACKLOG));
    placeholder.close();
    listener = newListener;
    acceptFrom(newListener);
  }

  private InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Binds a socket. */
  @FunctionalInterface
  private interface Binding {
    void run() throws IOException;
  }

  /** Repeats a binding while the port belongs to a connection of another process. */
  private static void bind(Binding binding) throws IOException, InterruptedException {
    for (int i = 0; i < MAXIMUM_BINDINGS; i++) {
      try {
        binding.run();
        return;
      } catch (BindException e) {
        Thread.sleep(BINDING_PAUSE_MILLISECONDS);
      }
    }
    binding.run();
  }

  private void acceptFrom(ServerSocket openListener) {
    Thread.startVirtualThread(
        () -> {
          while (!openListener.isClosed()) {
            try {
              Socket client = openListener.accept();
              client.setTcpNoDelay(true);
              Connection connection = new Connection(client);
              connections.add(connection);
              Thread.startVirtualThread(() -> serve(connection));
            } catch (IOException e) {
              // The listener was closed, or the peer has reset the connection before it was served.
              continue;
            }
          }
        });
  }

  private void serve(Connection connection) {
    try (Socket client = connection.client) {
      InputStream input = new BufferedInputStream(client.getInputStream());
      try (Upstream upstream = new Upstream()) {
        HttpMessage request = HttpMessage.read(input);
        while (request != null && treat(withTime(request), connection, upstream)) {
          request = HttpMessage.read(input);
        }
      } catch (IOException e) {
        // One of both sides is gone: the other one sees a reset connection, or nothing.
        endConnection(connection, input);
      }
    } catch (IOException e) {
      reset(connection.client);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connections.remove(connection);
    }
  }

  private static HttpMessage withTime(HttpMessage request) {
    return request.withHeader(RECEIVED_HEADER + ": " + System.currentTimeMillis());
  }

  private static void endConnection(Connection connection, InputStream input) throws IOException {
    if (!connection.isSilent) {
      reset(connection.client);
      return;
    }
    input.transferTo(OutputStream.nullOutputStream());
  }

  /** Returns whether the connection remains open. */
  private boolean treat(HttpMessage request, Connection connection, Upstream upstream)
      throws IOException, InterruptedException {
    connection.hasCall = true;
    if (!connection.isSilent) {
      awaitServer();
    }
    Socket client = connection.client;
    Treatment treatment =
        connection.isSilent || cuts.get() > 0 ? new Treatment.Silence() : rule.apply(request);
    switch (treatment) {
      case Treatment.Forward forward -> {
        Thread.sleep(forward.delayMilliseconds());
        respond(upstream.exchange(request, connection), connection);
        return true;
      }
      case Treatment.Reset reset -> {
        reset(client);
        return false;
      }
      case Treatment.LoseAnswer loseAnswer -> {
        upstream.exchange(request, connection);
        reset(client);
        return false;
      }
      case Treatment.SilenceAnswer silenceAnswer -> {
        upstream.exchange(request, connection);
        return true;
      }
      case Treatment.Silence silence -> {
        return true;
      }
      case Treatment.Refuse refuse -> {
        client.getOutputStream().write(UNAVAILABLE);
        return true;
      }
      case Treatment.DeliverLate late -> {
        InetSocketAddress intendedServer = server;
        boolean onlyThisServer = late.onlyThisServer() || connection.isServed;
        Thread.startVirtualThread(
            () -> deliverLate(request, late.delayMilliseconds(), onlyThisServer, intendedServer));
        return true;
      }
    }
  }

  private void respond(HttpMessage response, Connection connection) throws IOException {
    if (!connection.isSilent && cuts.get() == 0) {
      connection.hasCall = false;
      response.write(connection.client.getOutputStream());
    }
  }

  private void deliverLate(
      HttpMessage request,
      long delayMilliseconds,
      boolean onlyThisServer,
      InetSocketAddress intendedServer) {
    try {
      Thread.sleep(delayMilliseconds);
      awaitServer();
      if (onlyThisServer && !server.equals(intendedServer)) {
        return;
      }
      try (Upstream upstream = new Upstream()) {
        upstream.exchange(request.withHeader(LATE_HEADER + ": 1"), new Connection(new Socket()));
      }
    } catch (IOException e) {
      // The server is gone: the request is lost on its way.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void resetAll() {
    connections.forEach(connection -> reset(connection.client));
    connections.clear();
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The peer was faster.
      return;
    }
  }

  @Override
  public synchronized void close() throws IOException {
    listener.close();
    resetAll();
    if (placeholder != null) {
      placeholder.close();
    }
  }

  /** A connection to the server, opened with the first request. */
  private final class Upstream implements AutoCloseable {
    private Socket socket;
    private InputStream input;

    HttpMessage exchange(HttpMessage request, Connection connection) throws IOException {
      if (socket == null) {
        connection.isServed = true;
        socket = new Socket();
        socket.connect(server, CONNECT_TIMEOUT_MILLISECONDS);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
      }
      request.write(socket.getOutputStream());
      HttpMessage response = HttpMessage.read(input);
      if (response == null) {
        throw new IOException("the server has closed the connection");
      }
      return response;
    }

    @Override
    public void close() throws IOException {
      if (socket != null) {
        socket.close();
      }
    }
  }
}
