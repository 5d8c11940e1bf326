package org.flamingochute.entry;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HexFormat;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.fleet.FleetDescriptionFormatter;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.engine.EntryNode;
import org.flamingochute.engine.EntryNodeSettings;
import org.flamingochute.entry.http.EntryHttpServer;
import org.flamingochute.entry.http.NodeReference;
import org.flamingochute.entry.metrics.ExchangeMetrics;
import org.flamingochute.entry.metrics.ProcessMetrics;
import org.flamingochute.entry.peer.NettyPeerTransport;
import org.flamingochute.entry.peer.PeerTransportSettings;
import org.flamingochute.platform.ThreadPoolTimers;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.HttpEndpointClient;
import org.flamingochute.platform.http.HttpInstanceList;
import org.flamingochute.platform.http.HttpPlatformLog;
import org.flamingochute.platform.http.HttpPoolControl;
import org.flamingochute.platform.http.HttpWorkerControl;
import org.flamingochute.platform.http.LogLimits;
import org.flamingochute.schema.LimitSection;
import org.flamingochute.schema.TimingSection;

/**
 * One entry with all its components: event loops, HTTP clients, peer transport, timers and the
 * node.
 *
 * <p>The ports are bound before the node is created, because the node announces its addresses to
 * its peers. Until the node exists, requests that need it are refused with status 503, those with
 * an outcome as not run.
 */
public final class EntryProcess {
  private static final int TIMER_THREADS = 2;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int MAXIMUM_PLATFORM_CONNECTIONS = 8;
  private static final int MAXIMUM_PLATFORM_RESPONSE_BYTES = 8 << 20;

  /** Limit on the length of a header line. ActiveJ reads it once, when its HTTP classes load. */
  private static final String MAXIMUM_HEADER_LINE_PROPERTY =
      "io.activej.http.HttpMessage.maxHeaderLineSize";

  private static final long CONNECTION_CLOSE_WAIT_MILLISECONDS = 500;

  /** Time to append the member-left record, added to the time limit of work in flight. */
  private static final long LEAVE_RECORD_MILLISECONDS = 2000;

  private static final int INCARNATION_BYTES = 8;

  private final ResolvedSettings resolved;
  private final Incarnation incarnation;
  private final MetricRegistry registry = new MetricRegistry();
  private final ProcessMetrics processMetrics = new ProcessMetrics(registry);
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();
  private final NodeReference node = new NodeReference();
  private EntryHttpServer httpServer;
  private String httpAddress = "";
  private String peerAddress = "";
  private boolean stopped;

  private EntryProcess(ResolvedSettings resolved) {
    this.resolved = resolved;
    this.incarnation = newIncarnation(resolved.settings().getEntry().getInstance());
  }

  private static Incarnation newIncarnation(String instance) {
    byte[] randomBytes = new byte[INCARNATION_BYTES];
    new SecureRandom().nextBytes(randomBytes);
    return new Incarnation(instance + "-" + HexFormat.of().formatHex(randomBytes));
  }

  /**
   * Starts a process. If it cannot start, all resources are closed and the error is returned.
   *
   * @param nodeFactory creates the node
   */
  static Either<ErrorReport, EntryProcess> start(
      ResolvedSettings resolved, EntryNodeFactory nodeFactory) {
    EntryProcess process = new EntryProcess(resolved);
    Either<ErrorReport, Void> result;
    try {
      result = process.startComponents(nodeFactory);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("event=start_failed");
      result = Either.left(ErrorReport.of(ErrorCode.ENTRY_FAILED, e.toString()));
    }
    if (result.isLeft()) {
      process.closeResources();
      return Either.left(result.getLeft());
    }
    return Either.right(process);
  }

  private Either<ErrorReport, Void> startComponents(EntryNodeFactory nodeFactory) {
    System.setProperty(
        MAXIMUM_HEADER_LINE_PROPERTY,
        Integer.toString(resolved.settings().getLimit().getMaximumHeaderBytes()));
    EventLoopGroup eventLoops =
        EventLoopGroup.start(
            "http",
            resolved.settings().getEntry().getThreads(),
            (error, context) -> handleUncaughtException("http", error));
    resources.push(eventLoops);
    Either<ErrorReport, NettyPeerTransport> peerTransportResult = startPeerTransport();
    if (peerTransportResult.isLeft()) {
      return Either.left(peerTransportResult.getLeft());
    }
    Either<ErrorReport, Void> httpServerResult = startHttpServer(eventLoops);
    if (httpServerResult.isLeft()) {
      return httpServerResult;
    }
    String portFile = resolved.settings().getEntry().getPortFile();
    Either<ErrorReport, Void> portFileResult = PortFile.write(portFile, httpAddress, peerAddress);
    if (portFileResult.isLeft()) {
      return portFileResult;
    }
    EntryNode newNode = nodeFactory.create(nodeSettings(eventLoops, peerTransportResult.get()));
    node.set(newNode);
    newNode.start();
    logger.atInfo().log(
        "event=entry_started incarnation=%s http=%s peer=%s",
        incarnation, httpAddress, peerAddress);
    return Either.right(null);
  }

  private Either<ErrorReport, NettyPeerTransport> startPeerTransport() {
    NettyPeerTransport transport =
        new NettyPeerTransport(
            PeerTransportSettings.builder()
                .localName(incarnation.value())
                .address(resolved.peer().socketAddress())
                .secret(resolved.secret())
                .maximumFrameBytes(resolved.settings().getPeer().getMaximumFrameBytes())
                .tls(resolved.tls())
                .registry(registry)
                .build());
    resources.push(transport);
    try {
      peerAddress = formatAddress(transport.listen());
      return Either.right(transport);
    } catch (IOException e) {
      return Either.left(unusableAddress("peer", "address", resolved.peer().text(), e));
    }
  }

  private Either<ErrorReport, Void> startHttpServer(EventLoopGroup eventLoops) {
    httpServer =
        EntryHttpServer.builder()
            .eventLoops(eventLoops)
            .address(resolved.http().socketAddress())
            .limits(resolved.settings().getLimit())
            .node(node)
            .registry(registry)
            .formatter(description -> new FleetDescriptionFormatter().format(description))
            .build();
    try {
      httpAddress = formatAddress(httpServer.listen());
      resources.push(httpServer::close);
      return Either.right(null);
    } catch (IOException e) {
      return Either.left(unusableAddress("entry", "http_address", resolved.http().text(), e));
    }
  }

  private static ErrorReport unusableAddress(
      String section, String key, String address, Exception e) {
    return ErrorReport.of(ErrorCode.ADDRESS_UNUSABLE, section, key, address, e.getMessage());
  }

  private static String formatAddress(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private EntryNodeSettings nodeSettings(EventLoopGroup eventLoops, NettyPeerTransport peers) {
    Duration timeout =
        Duration.ofMillis(resolved.settings().getPlatform().getTimeoutMilliseconds());
    ExchangeClient platform =
        new ExchangeClient(eventLoops, platformLimits(timeout), exchangeMetrics("platform"));
    resources.push(platform);
    ExchangeClient endpoints =
        new ExchangeClient(eventLoops, endpointLimits(), exchangeMetrics("endpoint"));
    resources.push(endpoints);
    ThreadPoolTimers timers =
        new ThreadPoolTimers(TIMER_THREADS, failure -> processMetrics.uncaughtExceptions().inc());
    resources.push(timers);
    return new EntryNodeSettings(
        resolved.settings(),
        incarnation,
        httpAddress,
        peerAddress,
        new HttpPlatformLog(platform, resolved.log(), timeout, LogLimits.defaults()),
        new HttpInstanceList(platform, resolved.list(), timeout),
        new HttpPoolControl(platform, resolved.pool(), timeout),
        new HttpWorkerControl(platform, timeout),
        new HttpEndpointClient(endpoints),
        peers,
        timers,
        registry);
  }

  private ExchangeMetrics exchangeMetrics(String prefix) {
    return new ExchangeMetrics(registry, prefix);
  }

  private static ExchangeLimits platformLimits(Duration timeout) {
    return ExchangeLimits.builder()
        .maximumConnections(MAXIMUM_PLATFORM_CONNECTIONS)
        .maximumResponseBytes(MAXIMUM_PLATFORM_RESPONSE_BYTES)
        .connectTimeout(timeout)
        .build();
  }

  private ExchangeLimits endpointLimits() {
    LimitSection limits = resolved.settings().getLimit();
    return ExchangeLimits.builder()
        .maximumConnections(limits.getMaximumEndpointConnections())
        .maximumQueuedExchanges(limits.getMaximumEndpointConnections())
        .maximumResponseBytes(limits.getMaximumBodyBytes())
        .build();
  }

  /** Counts and logs an uncaught exception; the process keeps running. */
  void handleUncaughtException(String thread, Throwable error) {
    processMetrics.uncaughtExceptions().inc();
    logger.atSevere().withCause(error).log("event=uncaught_exception thread=%s", thread);
  }

  /** Returns the HTTP address for callers and operators. */
  public String httpAddress() {
    return httpAddress;
  }

  /** Returns the address of the peer transport. */
  public String peerAddress() {
    return peerAddress;
  }

  /** Returns the metric registry. */
  public MetricRegistry registry() {
    return registry;
  }

  /**
   * Stops gracefully: the node finishes its work, at most within the time limit of the settings,
   * then all resources are closed. A second call has no effect.
   */
  public synchronized void stop() {
    if (stopped) {
      return;
    }
    stopped = true;
    logger.atInfo().log("event=entry_stopping incarnation=%s", incarnation);
    httpServer.beginClosing();
    stopNode();
    httpServer.stopAccepting();
    waitForCallersToClose();
    closeResources();
    logger.atInfo().log("event=entry_stopped incarnation=%s", incarnation);
  }

  private void stopNode() {
    TimingSection timing = resolved.settings().getTiming();
    long milliseconds =
        Math.max(timing.getStopMilliseconds(), timing.getStopNoticeMilliseconds())
            + LEAVE_RECORD_MILLISECONDS;
    try {
      node.get()
          .ifPresent(
              running -> running.stop().orTimeout(milliseconds, TimeUnit.MILLISECONDS).join());
    } catch (CompletionException e) {
      logger.atWarning().log(
          "event=stop_incomplete message=%s", LogText.quoted(String.valueOf(e.getCause())));
    } catch (RuntimeException e) {
      handleUncaughtException("stop", e);
    }
  }

  /** Waits so that callers can close their connections after {@code Connection: close}. */
  private static void waitForCallersToClose() {
    try {
      Thread.sleep(CONNECTION_CLOSE_WAIT_MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void closeResources() {
    while (!resources.isEmpty()) {
      try {
        resources.pop().close();
      } catch (Exception e) {
        handleUncaughtException("stop", e);
      }
    }
  }
}
