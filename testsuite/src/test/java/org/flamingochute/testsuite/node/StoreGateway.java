package org.flamingochute.testsuite.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Relays the connections between nodes and the store. It can withhold what passes, break all
 * connections at once, and refuse new ones until it is told to relay again.
 *
 * <p>A withheld request is passed on when relaying resumes, even if the node's connection has been
 * broken meanwhile: the store then executes it late.
 */
final class StoreGateway implements AutoCloseable {
  private static final int BUFFER_BYTES = 1 << 18;
  private static final byte[] UNAVAILABLE_RESPONSE =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);

  private static final String APPEND_OF_JOBS = "POST /log-append?topic=keyed.intake";
  private static final Pattern JOB_KEY = Pattern.compile("job/([0-9a-f]{16})");

  private final InetSocketAddress store;
  private final InetSocketAddress address;
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final Set<Socket> nodeSockets = new HashSet<>();
  private final Set<Socket> storeSockets = new HashSet<>();
  private ServerSocket listener;
  private Future<?> acceptLoop;

  /** Keeps the port while nothing listens, so that no other process receives it. */
  private Socket portHolder;

  private Withheld withheld = Withheld.NOTHING;
  private Outage outage = Outage.NONE;
  private long releaseCount;
  private final Set<String> appendedJobs = new HashSet<>();
  private final Set<String> withheldJobs = new HashSet<>();

  /** What is withheld. */
  enum Withheld {
    NOTHING,
    /** Requests do not reach the store. */
    REQUESTS,
    /** Requests are executed, but their responses do not reach the nodes. */
    RESPONSES
  }

  /** What a node sees after its connections were broken. */
  enum Outage {
    NONE,
    /** New connections are refused. */
    CONNECTION_REFUSED,
    /** New connections are accepted, and each request gets status 503. */
    UNAVAILABLE
  }

  /** A connection of a node. */
  private static final class Connection {
    /** The jobs of which the newest request is the first append. */
    private Set<String> jobs = Set.of();
  }

  StoreGateway(String storeAddress) throws IOException {
    String[] parts = storeAddress.split(":");
    store = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    address = (InetSocketAddress) listener.getLocalSocketAddress();
    startAccepting();
  }

  String address() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void startAccepting() {
    ServerSocket accepting = listener;
    acceptLoop = threads.submit(() -> acceptAll(accepting));
  }

  private void acceptAll(ServerSocket accepting) {
    while (true) {
      try {
        Socket node = accepting.accept();
        threads.execute(() -> relay(node));
      } catch (IOException e) {
        // The listener was closed.
        return;
      }
    }
  }

  private void relay(Socket node) {
    try {
      if (isUnavailable(node)) {
        respondUnavailable(node);
        return;
      }
      Socket connected = new Socket(store.getAddress(), store.getPort());
      synchronized (this) {
        storeSockets.add(connected);
      }
      Connection connection = new Connection();
      threads.execute(() -> passAll(connected, node, Withheld.RESPONSES, connection));
      passAll(node, connected, Withheld.REQUESTS, connection);
    } catch (IOException e) {
      abort(node);
    }
  }

  private synchronized boolean isUnavailable(Socket node) {
    nodeSockets.add(node);
    return outage == Outage.UNAVAILABLE;
  }

  /** Responds to the first request, and reads the rest so that the response is not discarded. */
  private static void respondUnavailable(Socket node) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    if (node.getInputStream().read(buffer) > 0) {
      node.getOutputStream().write(UNAVAILABLE_RESPONSE);
      node.shutdownOutput();
    }
    while (node.getInputStream().read(buffer) > 0) {
      // The request has been answered.
    }
    node.close();
  }

  private void passAll(Socket source, Socket target, Withheld direction, Connection connection) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      int length = source.getInputStream().read(buffer);
      while (length > 0) {
        if (direction == Withheld.REQUESTS) {
          recordJobs(connection, new String(buffer, 0, length, StandardCharsets.ISO_8859_1));
        }
        awaitRelease(direction, connection);
        target.getOutputStream().write(Arrays.copyOf(buffer, length));
        length = source.getInputStream().read(buffer);
      }
    } catch (IOException e) {
      // One of the connections was broken, by this gateway or by its peer.
    }
  }

  /**
   * Records the jobs that a request appends first; it begins with the given text, or continues with
   * it.
   */
  private synchronized void recordJobs(Connection connection, String text) {
    if (text.startsWith("GET ") || text.startsWith("POST ")) {
      connection.jobs = text.startsWith(APPEND_OF_JOBS) ? new HashSet<>() : Set.of();
    }
    if (connection.jobs instanceof HashSet<String> jobs) {
      Matcher matcher = JOB_KEY.matcher(text);
      while (matcher.find()) {
        if (appendedJobs.add(matcher.group(1))) {
          jobs.add(matcher.group(1));
        }
      }
    }
  }

  private synchronized void awaitRelease(Withheld direction, Connection connection)
      throws IOException {
    if (withheld != direction) {
      return;
    }
    withheldJobs.addAll(connection.jobs);
    long releasesBefore = releaseCount;
    try {
      while (releaseCount == releasesBefore) {
        wait();
      }
    } catch (InterruptedException e) {
      throw new IOException("the gateway is closed", e);
    }
  }

  /** Passes on what is withheld, and from now on withholds the given kind of message. */
  synchronized void withhold(Withheld kind) {
    withheld = kind;
    withheldJobs.clear();
    releaseCount++;
    notifyAll();
  }

  /**
   * Returns the jobs of which the first append, or the response to it, was withheld since {@link
   * #withhold} was called.
   */
  synchronized Set<String> withheldJobs() {
    return Set.copyOf(withheldJobs);
  }

  /** Breaks the connections of all nodes; what is withheld stays so. */
  void disconnect(Outage kind) throws Exception {
    if (kind == Outage.CONNECTION_REFUSED) {
      listener.close();
      // The port is in use until the thread that accepts connections has ended.
      acceptLoop.get();
    }
    synchronized (this) {
      outage = kind;
      nodeSockets.forEach(StoreGateway::abort);
      nodeSockets.clear();
      if (kind == Outage.CONNECTION_REFUSED) {
        portHolder = new Socket();
        portHolder.setReuseAddress(true);
        portHolder.bind(address);
      }
    }
  }

  /** Accepts connections again and relays everything, beginning with what is withheld. */
  synchronized void reconnect() throws IOException {
    if (outage == Outage.CONNECTION_REFUSED) {
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(address);
      portHolder.close();
      startAccepting();
    }
    outage = Outage.NONE;
    nodeSockets.forEach(StoreGateway::abort);
    nodeSockets.clear();
    withhold(Withheld.NOTHING);
  }

  /** Closes a connection with a reset. */
  private static void abort(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The connection is closed already.
    }
  }

  @Override
  public synchronized void close() throws IOException {
    listener.close();
    if (portHolder != null) {
      portHolder.close();
    }
    nodeSockets.forEach(StoreGateway::abort);
    storeSockets.forEach(StoreGateway::abort);
    threads.shutdownNow();
  }
}
