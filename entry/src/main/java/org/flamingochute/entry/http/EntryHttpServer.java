package org.flamingochute.entry.http;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import io.activej.net.AbstractReactiveServer;
import io.activej.net.PrimaryServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.LimitSection;

/**
 * HTTP server of an entry: an acceptor on the first event loop, which distributes the accepted
 * connections round-robin over one server per event loop.
 */
public final class EntryHttpServer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(30);
  private static final long CLOSE_TIMEOUT_MILLISECONDS = 2000;

  private final RequestRouter router;
  private final Eventloop acceptLoop;
  private final PrimaryServer acceptor;
  private final List<HttpServer> servers = new ArrayList<>();

  private EntryHttpServer(Builder builder) {
    HttpServerMetrics metrics = new HttpServerMetrics(builder.registry);
    AtomicInteger openConnections = new AtomicInteger();
    router = router(builder, metrics);
    for (Eventloop eventLoop : builder.eventLoops.loops()) {
      HttpServerInspector inspector = new HttpServerInspector(metrics, openConnections);
      servers.add(
          HttpServer.builder(eventLoop, router)
              .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
              .withReadWriteTimeout(READ_TIMEOUT)
              .withMaxBodySize(Integer.MAX_VALUE)
              .withServeTimeoutShutdown(Duration.ofMillis(CLOSE_TIMEOUT_MILLISECONDS))
              .withInspector(inspector)
              .withSocketInspector(inspector.acceptedSocketInspector())
              .build());
    }
    acceptLoop = builder.eventLoops.loops().getFirst();
    int maximumConnections = builder.limits.getMaximumConnections();
    acceptor =
        PrimaryServer.builder(acceptLoop, servers)
            .withListenAddress(builder.address)
            .withAcceptFilter(
                (channel, local, remote, secure) -> {
                  boolean refused = openConnections.get() >= maximumConnections;
                  if (refused) {
                    metrics.refusedConnections().inc();
                    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                        "event=connection_refused peer=%s limit=%d",
                        remote.getHostAddress(), maximumConnections);
                  }
                  return refused;
                })
            .build();
  }

  private static RequestRouter router(Builder builder, HttpServerMetrics metrics) {
    RequestValidator validator = new RequestValidator(builder.limits, metrics);
    Map<String, RouteGroup> routeGroups =
        Map.of(
            "services", new ServiceRoutes(builder.node, validator, metrics),
            "jobs", new JobRoutes(builder.node, validator),
            "health", new HealthRoutes(builder.node),
            "metrics", new MetricsRoutes(builder.registry),
            "operator", new OperatorRoutes(builder.node, validator, builder.formatter));
    return new RequestRouter(validator, routeGroups);
  }

  /**
   * Returns a builder. All values except the formatter must be set; limits that are not set are 0,
   * which refuses every connection.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Starts listening.
   *
   * @return the bound address
   * @throws IOException when the address cannot be bound
   */
  public InetSocketAddress listen() throws IOException {
    CompletableFuture<InetSocketAddress> bound =
        acceptLoop.submit(
            () -> {
              acceptor.listen();
              return Promise.of(acceptor.getBoundAddresses().getFirst());
            });
    try {
      return bound.join();
    } catch (CompletionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    }
  }

  /** Adds {@code Connection: close} to all responses from now on. */
  public void beginClosing() {
    router.beginClosing();
  }

  /** Stops accepting connections; open connections are still served. */
  public void stopAccepting() {
    closeAndWait(List.of(acceptor));
  }

  /**
   * Stops accepting and closes the connections after pending responses are written or {@value
   * #CLOSE_TIMEOUT_MILLISECONDS} ms have passed.
   */
  public void close() {
    stopAccepting();
    closeAndWait(servers);
  }

  private static void closeAndWait(List<? extends AbstractReactiveServer> servers) {
    CompletableFuture<?>[] closeFutures =
        servers.stream()
            .map(server -> (CompletableFuture<?>) server.closeFuture())
            .toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(closeFutures)
        .completeOnTimeout(null, CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        .exceptionally(error -> null)
        .join();
  }

  /** Builds an HTTP server. */
  public static final class Builder {
    private EventLoopGroup eventLoops;
    private InetSocketAddress address;
    private LimitSection limits = LimitSection.getDefaultInstance();
    private NodeReference node;
    private MetricRegistry registry;
    private Function<FleetDescription, String> formatter = FleetDescription::toString;

    private Builder() {}

    /** Sets the event loops; the server does not close them. */
    public Builder eventLoops(EventLoopGroup value) {
      eventLoops = value;
      return this;
    }

    /** Sets the address to listen on. */
    public Builder address(InetSocketAddress value) {
      address = value;
      return this;
    }

    /** Sets the limits on input. */
    public Builder limits(LimitSection value) {
      limits = value;
      return this;
    }

    /** Sets the node that handles the requests. */
    public Builder node(NodeReference value) {
      node = value;
      return this;
    }

    /** Sets the registry of the metrics and of their report. */
    public Builder registry(MetricRegistry value) {
      registry = value;
      return this;
    }

    /** Sets the function that formats a description as INI text. */
    public Builder formatter(Function<FleetDescription, String> value) {
      formatter = value;
      return this;
    }

    /** Returns the server, which does not listen yet. */
    public EntryHttpServer build() {
      return new EntryHttpServer(this);
    }
  }
}
