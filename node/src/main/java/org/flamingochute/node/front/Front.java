package org.flamingochute.node.front;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.flamingochute.node.NodeMetrics;
import org.flamingochute.node.store.StoreFollower;

/** The HTTP servers of an entry: for callers, for the readiness probe and for metrics. */
public final class Front {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final JobServlet jobs;
  private final HttpServer callers;
  private final HttpServer readiness;
  private final HttpServer metrics;

  /**
   * Creates the servers.
   *
   * @param declarations follower of the declarations, whose age limits the use of keys
   * @param maximumKeyAgeMilliseconds age up to which a declaration may judge keys
   * @param addresses where to listen
   * @param ready tells whether the balancer may send callers
   */
  public Front(
      FrontParts parts,
      StoreFollower declarations,
      long maximumKeyAgeMilliseconds,
      FrontAddresses addresses,
      BooleanSupplier ready) {
    CallAuthorization authorization =
        new CallAuthorization(parts.state(), declarations, maximumKeyAgeMilliseconds);
    jobs = new JobServlet(parts, authorization);
    callers = server(parts.loop(), addresses.callers(), jobs);
    readiness =
        server(
            parts.loop(),
            addresses.readiness(),
            request -> HttpResponse.ofCode(ready.getAsBoolean() ? OK : UNAVAILABLE).toPromise());
    NodeMetrics figures = parts.metrics();
    metrics =
        server(
            parts.loop(),
            addresses.metrics(),
            request ->
                HttpResponse.ofCode(OK)
                    .withBody(figures.text().getBytes(StandardCharsets.UTF_8))
                    .toPromise());
  }

  private static HttpServer server(
      Eventloop loop, InetSocketAddress address, AsyncServlet servlet) {
    return HttpServer.builder(loop, servlet)
        .withListenAddress(address)
        .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
        .withReadWriteTimeout(READ_TIMEOUT)
        .withMaxBodySize(Integer.MAX_VALUE)
        .build();
  }

  /** Begins to listen. */
  public void listen() throws IOException {
    callers.listen();
    readiness.listen();
    metrics.listen();
    logger.atInfo().log(
        "event=listening callers=%s readiness=%s metrics=%s",
        callers.getBoundAddresses(), readiness.getBoundAddresses(), metrics.getBoundAddresses());
  }

  /** Asks callers from now on to close their connections after the answer. */
  public void beginClosing() {
    jobs.beginClosing();
  }

  /** Returns the calls that have not been answered. */
  public int underWay() {
    return jobs.underWay();
  }

  /** Accepts no more connections. */
  public void stopAccepting() {
    callers.close();
  }
}
