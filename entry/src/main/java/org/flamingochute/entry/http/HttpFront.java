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
 * The HTTP servers of an entry: one that accepts on the first event loop, and one on each loop that
 * serves the accepted connections in turn.
 */
public final class HttpFront {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(30);
  private static final long CLOSE_MILLISECONDS = 2000;

  private final RequestRouter router;
  private final Eventloop acceptLoop;
  private final PrimaryServer acceptor;
  private final List<HttpServer> servers = new ArrayList<>();

  private HttpFront(Builder builder) {
    FrontMetrics metrics = new FrontMetrics(builder.registry);
    AtomicInteger connections = new AtomicInteger();
    router = router(builder, metrics);
    for (Eventloop loop : builder.loops.loops()) {
      ServerObserver observer = new ServerObserver(metrics, connections);
      servers.add(
          HttpServer.builder(loop, router)
              .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
              .withReadWriteTimeout(READ_TIMEOUT)
              .withMaxBodySize(Integer.MAX_VALUE)
              .withServeTimeoutShutdown(Duration.ofMillis(CLOSE_MILLISECONDS))
              .withInspector(observer)
              .withSocketInspector(observer.acceptObserver())
              .build());
    }
    acceptLoop = builder.loops.loops().getFirst();
    int maximumConnections = builder.limits.getMaximumConnections();
    acceptor =
        PrimaryServer.builder(acceptLoop, servers)
            .withListenAddress(builder.address)
            .withAcceptFilter(
                (channel, local, remote, secure) -> {
                  boolean refused = connections.get() >= maximumConnections;
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

  private static RequestRouter router(Builder builder, FrontMetrics metrics) {
    InputGuard guard = new InputGuard(builder.limits, metrics);
    Map<String, RouteGroup> groups =
        Map.of(
            "services", new ServiceRoutes(builder.node, guard, metrics),
            "jobs", new JobRoutes(builder.node, guard),
            "health", new HealthRoutes(builder.node),
            "metrics", new MetricsRoutes(builder.registry),
            "operator", new OperatorRoutes(builder.node, guard, builder.formatter));
    return new RequestRouter(guard, groups);
  }

  /** Starts the description of a front. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Begins to listen.
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

  /** Asks callers from now on, with each answer, to close their connections. */
  public void beginClosing() {
    router.beginClosing();
  }

  /** Takes no more connections; those that are open are served on. */
  public void stopAccepting() {
    await(List.of(acceptor));
  }

  /** Stops accepting and closes the connections after the answers under way are written. */
  public void close() {
    stopAccepting();
    await(servers);
  }

  private static void await(List<? extends AbstractReactiveServer> closing) {
    CompletableFuture<?>[] ends =
        closing.stream()
            .map(server -> (CompletableFuture<?>) server.closeFuture())
            .toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(ends)
        .completeOnTimeout(null, CLOSE_MILLISECONDS, TimeUnit.MILLISECONDS)
        .exceptionally(error -> null)
        .join();
  }

  /** Builds a front. */
  public static final class Builder {
    private EventLoopGroup loops;
    private InetSocketAddress address;
    private LimitSection limits = LimitSection.getDefaultInstance();
    private NodeReference node;
    private MetricRegistry registry;
    private Function<FleetDescription, String> formatter = FleetDescription::toString;

    private Builder() {}

    /** Sets the event loops that serve; the front does not close them. */
    public Builder loops(EventLoopGroup value) {
      loops = value;
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

    /** Sets the node that serves. */
    public Builder node(NodeReference value) {
      node = value;
      return this;
    }

    /** Sets the registry that metrics are counted in and read from. */
    public Builder registry(MetricRegistry value) {
      registry = value;
      return this;
    }

    /** Sets the function that writes a description as INI text. */
    public Builder formatter(Function<FleetDescription, String> value) {
      formatter = value;
      return this;
    }

    /** Returns the front, which does not listen yet. */
    public HttpFront build() {
      return new HttpFront(this);
    }
  }
}
