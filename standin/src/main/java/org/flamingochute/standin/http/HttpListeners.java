package org.flamingochute.standin.http;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** HTTP servers on a fixed number of event loops, each loop on its own thread. */
final class HttpListeners implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Largest request body in bytes. */
  static final int MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;

  private final List<Eventloop> loops = new ArrayList<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private int next;

  /** Starts the event loops. */
  HttpListeners(int threads) {
    for (int i = 0; i < threads; i++) {
      Eventloop loop =
          Eventloop.builder().withFatalErrorHandler(HttpListeners::logUncaught).build();
      loop.keepAlive(true);
      loops.add(loop);
      Thread thread = new Thread(loop, "http-" + i);
      thread.setDaemon(true);
      thread.start();
    }
  }

  private static void logUncaught(Throwable cause, Object context) {
    logger.atSevere().withCause(cause).log("event=uncaught_exception context=\"%s\"", context);
  }

  /**
   * Listens on an address.
   *
   * @param address IP address and port; port 0 lets the system choose
   * @return the address with the chosen port
   */
  synchronized String listen(String address, AsyncServlet servlet) throws StandInException {
    Eventloop loop = loops.get(next % loops.size());
    next++;
    InetSocketAddress wanted = parse(address);
    try {
      HttpServer server = create(loop, wanted, servlet);
      loop.submit(server::listen).get();
      servers.add(server);
      int port = server.getBoundAddresses().get(0).getPort();
      return wanted.getAddress().getHostAddress() + ":" + port;
    } catch (ExecutionException e) {
      throw new StandInException(
          ErrorReport.of(ErrorCode.STAND_IN_CANNOT_LISTEN, address, e.getCause().getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StandInException(
          ErrorReport.of(ErrorCode.STAND_IN_CANNOT_LISTEN, address, "interrupted"));
    }
  }

  private static HttpServer create(
      Eventloop loop, InetSocketAddress address, AsyncServlet servlet) {
    return HttpServer.builder(loop, servlet)
        .withListenAddress(address)
        .withMaxBodySize(MAXIMUM_BODY_BYTES)
        .build();
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return new InetSocketAddress(address.substring(0, colon), port);
  }

  /** Returns the event loop that the next server is opened on. */
  synchronized Eventloop nextLoop() {
    return loops.get(next % loops.size());
  }

  /** Returns the first event loop, for clients. */
  Eventloop firstLoop() {
    return loops.get(0);
  }

  /** Closes all servers and ends the event loops. */
  @Override
  public synchronized void close() {
    for (HttpServer server : servers) {
      server.getReactor().execute(server::close);
    }
    for (Eventloop loop : loops) {
      loop.keepAlive(false);
      loop.execute(loop::breakEventloop);
    }
  }
}
