package org.flamingochute.standin.http;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.NumericAddress;

/** HTTP servers that share a group of event loops. */
public final class HttpListeners implements AutoCloseable {

  /** Maximum size of a request body in bytes. */
  static final int MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;

  private final EventLoopGroup group;
  private final List<HttpServer> servers = new ArrayList<>();

  /** Starts the event loops. */
  public HttpListeners(int threads) {
    group = EventLoopGroup.start("stand-in", threads);
  }

  /** Returns the event loops. */
  public EventLoopGroup group() {
    return group;
  }

  /**
   * Starts a server on an address.
   *
   * @param address IP address and port; port 0 selects a free port
   * @param servlet creates the servlet for an event loop
   * @return the bound address and port
   */
  public synchronized String listen(String address, Function<Eventloop, AsyncServlet> servlet)
      throws StandInException {
    Optional<NumericAddress> requested = NumericAddress.parse(address);
    if (requested.isEmpty()) {
      throw listenFailure(address, "not an IP address and port");
    }
    Eventloop loop = group.next();
    try {
      HttpServer server = createServer(loop, requested.get().socketAddress(), servlet.apply(loop));
      loop.submit(server::listen).get();
      servers.add(server);
      InetSocketAddress bound = server.getBoundAddresses().get(0);
      return bound.getAddress().getHostAddress() + ":" + bound.getPort();
    } catch (ExecutionException e) {
      throw listenFailure(address, e.getCause().getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw listenFailure(address, "interrupted");
    }
  }

  private static StandInException listenFailure(String address, String detail) {
    return new StandInException(ErrorReport.of(ErrorCode.STAND_IN_CANNOT_LISTEN, address, detail));
  }

  private static HttpServer createServer(
      Eventloop loop, InetSocketAddress address, AsyncServlet servlet) {
    return HttpServer.builder(loop, servlet)
        .withListenAddress(address)
        .withMaxBodySize(MAXIMUM_BODY_BYTES)
        .build();
  }

  /** Closes all servers and stops the event loops. */
  @Override
  public synchronized void close() {
    for (HttpServer server : servers) {
      server.getReactor().execute(server::close);
    }
    group.close();
  }
}
