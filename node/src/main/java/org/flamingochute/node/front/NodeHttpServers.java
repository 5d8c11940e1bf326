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

/** The HTTP servers of a node: for callers, for the readiness probe and for metrics. */
public final class NodeHttpServers {
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
   * @param declarations follower of the declarations; keys are checked only while it is fresh
   * @param maximumKeyAgeMilliseconds maximum age of a declaration against which keys are checked
   * @param addresses listen addresses
   * @param ready returns whether the load balancer may send calls to this node
   */
  public NodeHttpServers(
      HttpDependencies dependencies,
      StoreFollower declarations,
      long maximumKeyAgeMilliseconds,
      ListenAddresses addresses,
      BooleanSupplier ready) {
    CallAuthorizer authorizer =
        new CallAuthorizer(dependencies.state(), declarations, maximumKeyAgeMilliseconds);
    jobs = new JobServlet(dependencies, authorizer);
    callers = createServer(dependencies.loop(), addresses.callers(), jobs);
    readiness =
        createServer(
            dependencies.loop(),
            addresses.readiness(),
            request -> HttpResponse.ofCode(ready.getAsBoolean() ? OK : UNAVAILABLE).toPromise());
    NodeMetrics nodeMetrics = dependencies.metrics();
    metrics =
        createServer(
            dependencies.loop(),
            addresses.metrics(),
            request ->
                HttpResponse.ofCode(OK)
                    .withBody(nodeMetrics.toText().getBytes(StandardCharsets.UTF_8))
                    .toPromise());
  }

  private static HttpServer createServer(
      Eventloop loop, InetSocketAddress address, AsyncServlet servlet) {
    return HttpServer.builder(loop, servlet)
        .withListenAddress(address)
        .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
        .withReadWriteTimeout(READ_TIMEOUT)
        .withMaxBodySize(Integer.MAX_VALUE)
        .build();
  }

  /** Starts listening. */
  public void listen() throws IOException {
    callers.listen();
    readiness.listen();
    metrics.listen();
    logger.atInfo().log(
        "event=listening callers=%s readiness=%s metrics=%s",
        callers.getBoundAddresses(), readiness.getBoundAddresses(), metrics.getBoundAddresses());
  }

  /** Makes all further responses request that the caller close the connection. */
  public void beginClosing() {
    jobs.beginClosing();
  }

  /** Returns the number of calls that have not been answered. */
  public int openCallCount() {
    return jobs.openCallCount();
  }

  /** Stops accepting connections from callers. */
  public void stopAccepting() {
    callers.close();
  }
}
