package org.flamingochute.node.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which calls a session sends to a worker that answers by a script. */
class WorkerSessionTest {
  private static final long TIMEOUT_SECONDS = 60;
  private static final long LAST_FINISHED = 5;

  private static final long OUTAGE_MILLISECONDS = 20_000;

  /** Time after a response within which its connection becomes idle. */
  private static final long RELEASE_MILLISECONDS = 200;

  private static final long SHORTEST_RETRY_DELAY_MILLISECONDS = 50;

  private static final WorkerKey FORMER = new WorkerKey(new InstanceId("w"), 1);
  private static final WorkerKey SUCCESSOR = new WorkerKey(new InstanceId("w"), 2);
  private static final TaskId TASK = new TaskId(new JobId("00000000000000aa"), 0, 0, 0);

  private final EventLoopGroup group = EventLoopGroup.start("session", 1);
  private final ExchangeClient exchanges =
      new ExchangeClient(group, ExchangeLimits.builder().build(), ExchangeListener.NONE);
  private final Eventloop loop = group.next();
  private final AtomicLong clockAdvance = new AtomicLong();
  private final NodeClock clock =
      new NodeClock() {
        @Override
        public long steadyMilliseconds() {
          return super.steadyMilliseconds() + clockAdvance.get();
        }
      };
  private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
  private final Scheduler scheduler =
      new Scheduler(
          SchedulerSettings.builder().build(),
          FleetDeclaration.builder().version(1).build(),
          PredecessorState.OVER,
          0,
          0);
  private volatile boolean canRenewLeases = true;
  private volatile boolean isStartWanted = true;
  private HttpServer server;

  /** A call to the worker, which waits for its response. */
  private record Call(HttpExchange exchange, String body) {

    private void respond(String json) throws IOException {
      byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(200, bytes.length);
      exchange.getResponseBody().write(bytes);
      exchange.close();
    }

    /** Responds, and closes the connection after the response. */
    private void respondAndClose(String json) throws IOException {
      exchange.getResponseHeaders().add("Connection", "close");
      respond(json);
    }

    private void close() {
      exchange.close();
    }

    private boolean isRenewal() {
      return body.startsWith("/hold");
    }

    private boolean acknowledges(long number) {
      return body.contains("\"ack_cursor\":" + number + ",")
          || body.contains("\"ack_cursor\":" + number + "}");
    }

    private boolean grantsLease() {
      return body.contains("\"deadline_ms\"");
    }

    /** Returns the client's port, which tells connections apart. */
    private int port() {
      return exchange.getRemoteAddress().getPort();
    }
  }

  private final class TestContext implements LeadershipContext {
    @Override
    public boolean beginStart(SchedulerCommand.StartTask start) {
      return isStartWanted;
    }

    @Override
    public long epoch() {
      return 1;
    }

    @Override
    public long leaseMilliseconds() {
      return 3_500;
    }

    @Override
    public boolean canRenewLeases() {
      return canRenewLeases;
    }

    @Override
    public boolean canStartRuns() {
      return canRenewLeases;
    }

    @Override
    public boolean canCommandMachines() {
      return canRenewLeases;
    }

    @Override
    public void onChanged() {}

    @Override
    public void onFenced(String by) {}

    @Override
    public boolean isTermOver() {
      return false;
    }
  }

  @BeforeEach
  void startServer() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext("/", this::enqueue);
    server.start();
  }

  private void enqueue(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    calls.add(new Call(exchange, exchange.getRequestURI() + " " + body));
  }

  @AfterEach
  void close() {
    exchanges.close();
    group.close();
    server.stop(0);
  }

  private WorkerSession startSession(WorkerKey key) throws Exception {
    WorkerReport report =
        new WorkerReport(
            key,
            new PoolId("p"),
            "127.0.0.1:" + server.getAddress().getPort(),
            new DataCentreId("a"),
            ResourceVector.ZERO,
            List.of(),
            false);
    WorkerClient client = new WorkerClient(exchanges);
    CompletableFuture<WorkerSession> started = new CompletableFuture<>();
    loop.execute(
        () -> {
          scheduler.onWorkerListed(report, clock.steadyMilliseconds());
          WorkerSession session =
              new WorkerSession(loop, clock, client, new TestContext(), scheduler, report);
          session.start();
          started.complete(session);
        });
    return started.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private Call nextCall() throws InterruptedException {
    Call call = calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (call == null) {
      throw new IllegalStateException("no call arrived");
    }
    return call;
  }

  /** Answers calls with the status of a worker until one grants a lease; returns that one. */
  private Call nextGrant(WorkerKey key) throws Exception {
    while (true) {
      Call call = nextCall();
      if (call.grantsLease()) {
        return call;
      }
      call.respond(status(key, ""));
    }
  }

  private static String status(WorkerKey key, String finished) {
    return "{\"clock_ms\":1000,\"born\":%d,\"running\":[],\"finished\":[%s]}"
        .formatted(key.startedMilliseconds(), finished);
  }

  /**
   * Guards against TWICE: an end that a former incarnation listed is acknowledged to the next one,
   * which then forgets its own ends of the same numbers.
   */
  @Test
  void acknowledgementIsNotSentToNextIncarnation() throws Exception {
    WorkerSession former = startSession(FORMER);
    nextCall().respond(status(FORMER, "[5,\"00000000000000aa.0.0.0\",1,\"done\",\"\"]"));
    // The session waits until the end is recorded, or renews without acknowledging it.
    loop.execute(() -> former.acknowledge(LAST_FINISHED));
    Call call = nextCall();
    while (!call.body().contains("\"ack_cursor\":5")) {
      call.respond(status(FORMER, ""));
      call = nextCall();
    }
    call.close();
    nextCall().respond(status(SUCCESSOR, ""));
    startSession(SUCCESSOR);
    List<String> acknowledgements = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Call later = nextCall();
      if (!later.body().contains("\"ack_cursor\":0")) {
        acknowledgements.add(later.body());
      }
      later.respond(status(SUCCESSOR, ""));
    }
    assertThat(acknowledgements, empty());
  }

  private static final String ENDED =
      status(FORMER, "[5,\"00000000000000aa.0.0.0\",1,\"done\",\"\"]");

  /**
   * Answers renewals with the same status until one acknowledges its end; returns whether that one
   * arrived on the connection of the last status before it.
   */
  private boolean isAcknowledgedOnConnectionOfStatus(int firstPort) throws Exception {
    int statusPort = firstPort;
    while (true) {
      Call call = nextCall();
      if (!call.isRenewal()) {
        continue;
      }
      if (call.acknowledges(LAST_FINISHED)) {
        return call.port() == statusPort;
      }
      statusPort = call.port();
      call.respond(ENDED);
    }
  }

  /**
   * Guards against TWICE: the worker ends after it has listed an end, and the acknowledgement opens
   * a connection to its next incarnation, which forgets its own end of the same number.
   */
  @Test
  void acknowledgementOpensNoConnection() throws Exception {
    WorkerSession session = startSession(FORMER);
    Call call = nextCall();
    call.respondAndClose(ENDED);
    loop.execute(() -> session.acknowledge(LAST_FINISHED));
    assertThat(isAcknowledgedOnConnectionOfStatus(call.port()), is(true));
  }

  /**
   * Guards against TWICE: an acknowledgement is sent on a connection that another command has
   * opened, possibly to the next incarnation.
   */
  @Test
  void acknowledgementUsesNoConnectionOfOtherCommands() throws Exception {
    WorkerSession session = startSession(FORMER);
    nextCall().respond(status(FORMER, ""));
    final Call longPoll = nextCall();
    SchedulerCommand.StopTask stop = new SchedulerCommand.StopTask(FORMER, TASK, 1);
    loop.execute(() -> session.stopTask(stop));
    nextCall().respond("{\"clock_ms\":1000}");
    longPoll.respond(ENDED);
    Thread.sleep(RELEASE_MILLISECONDS);
    loop.execute(
        () -> {
          session.stopTask(stop);
          session.acknowledge(LAST_FINISHED);
        });
    assertThat(isAcknowledgedOnConnectionOfStatus(longPoll.port()), is(true));
  }

  /**
   * Guards against TWICE: a leader that was paused while its record was stored sends the start
   * after its successor has found the run's lease expired.
   */
  @Test
  void startIsNotSentWhenLeasesMayNotBeRenewed() throws Exception {
    WorkerSession session = startSession(FORMER);
    nextCall().respond(status(FORMER, ""));
    final Call waiting = nextCall();
    canRenewLeases = false;
    CompletableFuture<Void> requested = new CompletableFuture<>();
    loop.execute(
        () -> {
          session.startTask(new SchedulerCommand.StartTask(FORMER, TASK, 1, "", ""));
          requested.complete(null);
        });
    requested.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    canRenewLeases = true;
    waiting.respond(status(FORMER, ""));
    List<String> starts = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Call later = nextCall();
      if (later.body().startsWith("/run-start")) {
        starts.add(later.body());
      }
      later.respond(status(FORMER, ""));
    }
    assertThat(starts, empty());
  }

  /**
   * Guards against TWICE: leases are granted again after an outage of the store, by a reading of
   * the worker's clock from before it. A slow clock has fallen behind so far that the lease
   * outlasts the time that the leader counts.
   */
  @Test
  void leaseIsNotGrantedByAnOldReadingOfTheWorkersClock() throws Exception {
    final WorkerSession session = startSession(FORMER);
    final Call longPoll = nextGrant(FORMER);
    canRenewLeases = false;
    longPoll.respond(status(FORMER, ""));
    Thread.sleep(RELEASE_MILLISECONDS);
    loop.submit(
            () -> {
              clockAdvance.set(OUTAGE_MILLISECONDS);
              canRenewLeases = true;
              session.startTask(new SchedulerCommand.StartTask(FORMER, TASK, 1, "", ""));
            })
        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    Call afterOutage = nextCall();
    assertThat(afterOutage.body(), afterOutage.grantsLease(), is(false));
    afterOutage.respond(status(FORMER, ""));
    nextGrant(FORMER).close();
  }

  private boolean isStart(Call call) {
    return call.body().startsWith("/run-start");
  }

  private void requestStart(WorkerSession session, int attempt) {
    loop.execute(
        () -> session.startTask(new SchedulerCommand.StartTask(FORMER, TASK, attempt, "", "")));
  }

  /**
   * Guards against TWICE: the worker starts again under its id, and a renewal opens a connection to
   * the next incarnation, which takes the longest lease for a deadline on the former one's clock.
   */
  @Test
  void leaseIsNotGrantedOnNewConnection() throws Exception {
    startSession(FORMER);
    Set<Integer> portsWithStatus = new HashSet<>();
    List<String> grants = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      Call call = nextCall();
      if (call.grantsLease() && !portsWithStatus.contains(call.port())) {
        grants.add(call.body());
      }
      portsWithStatus.add(call.port());
      if (i % 2 == 0) {
        call.respond(status(FORMER, ""));
      } else {
        call.respondAndClose(status(FORMER, ""));
      }
    }
    assertThat(grants, empty());
  }

  /**
   * Guards against TWICE: a renewal that the worker does not answer is written once more, to a
   * connection to the next incarnation.
   */
  @Test
  void renewalWithoutResponseIsNotRepeatedOnNewConnection() throws Exception {
    startSession(FORMER);
    nextGrant(FORMER).close();
    Call next = nextCall();
    assertThat(next.body(), next.grantsLease(), is(false));
  }

  /**
   * Guards against TWICE: the worker starts again under its id, and a start opens a connection to
   * the next incarnation, which executes it under the longest lease.
   */
  @Test
  void startIsSentOnlyWhereTheIncarnationHasResponded() throws Exception {
    WorkerSession session = startSession(FORMER);
    nextCall().respond(status(FORMER, ""));
    final Call longPoll = nextCall();
    requestStart(session, 1);
    requestStart(session, 2);
    Set<Integer> portsWithStatus = new HashSet<>();
    int starts = 0;
    while (starts < 2) {
      Call call = nextCall();
      if (!isStart(call)) {
        portsWithStatus.add(call.port());
        call.respond(status(FORMER, ""));
        continue;
      }
      assertThat(call.body(), portsWithStatus.contains(call.port()), is(true));
      starts++;
      call.respond("{\"clock_ms\":1000}");
    }
    longPoll.respond(status(FORMER, ""));
  }

  /** Guards against TWICE, as above, by a connection that leads to the next incarnation. */
  @Test
  void startIsNotSentToNextIncarnation() throws Exception {
    WorkerSession session = startSession(FORMER);
    nextCall().respond(status(FORMER, ""));
    final Call longPoll = nextCall();
    requestStart(session, 1);
    List<String> starts = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Call call = nextCall();
      if (isStart(call)) {
        starts.add(call.body());
      }
      call.respond(status(SUCCESSOR, ""));
      if (i == 0) {
        longPoll.respond(status(SUCCESSOR, ""));
        startSession(SUCCESSOR);
      }
    }
    assertThat(starts, empty());
  }

  /**
   * Guards against TWICE: a start waits for a connection, its run is given up and started on
   * another worker meanwhile, and then the start is sent.
   */
  @Test
  void startIsNotSentOnceItsRunWasGivenUp() throws Exception {
    WorkerSession session = startSession(FORMER);
    nextCall().respond(status(FORMER, ""));
    final Call longPoll = nextCall();
    requestStart(session, 1);
    final Call opening = nextCall();
    isStartWanted = false;
    opening.respond(status(FORMER, ""));
    longPoll.respond(status(FORMER, ""));
    List<String> starts = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Call call = nextCall();
      if (isStart(call)) {
        starts.add(call.body());
      }
      call.respond(status(FORMER, ""));
    }
    assertThat(starts, empty());
  }

  /** Answers status reads until as many starts have arrived as given; returns the starts. */
  private List<Call> awaitStarts(int count) throws Exception {
    List<Call> starts = new ArrayList<>();
    while (starts.size() < count) {
      Call call = nextCall();
      if (isStart(call)) {
        starts.add(call);
      } else {
        call.respond(status(FORMER, ""));
      }
    }
    return starts;
  }

  /**
   * Guards against needless releases: all idle connections of a worker were closed, and a start is
   * given up although the worker responds.
   */
  @Test
  void startIsSentAfterAllIdleConnectionsWereClosed() throws Exception {
    WorkerSession session = startSession(FORMER);
    nextCall().respond(status(FORMER, ""));
    for (int attempt = 1; attempt <= IncarnationConnections.MAXIMUM_CONNECTIONS; attempt++) {
      requestStart(session, attempt);
    }
    for (Call start : awaitStarts(IncarnationConnections.MAXIMUM_CONNECTIONS)) {
      start.respondAndClose("{\"clock_ms\":1000}");
    }
    Thread.sleep(RELEASE_MILLISECONDS);
    requestStart(session, IncarnationConnections.MAXIMUM_CONNECTIONS + 1);
    awaitStarts(1).getFirst().respond("{\"clock_ms\":1000}");
  }

  /**
   * Guards against calls without a pause: a worker closes the connection after each response, so
   * that no renewal can be sent on it.
   */
  @Test
  void statusIsNotReadWithoutDelayWhileConnectionsAreClosed() throws Exception {
    startSession(FORMER);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
    int count = 0;
    while (System.nanoTime() < end) {
      Call call = calls.poll(SHORTEST_RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
      if (call != null) {
        count++;
        call.respondAndClose(status(FORMER, ""));
      }
    }
    int most = (int) (TimeUnit.SECONDS.toMillis(1) / SHORTEST_RETRY_DELAY_MILLISECONDS) + 1;
    assertThat(count, lessThanOrEqualTo(most));
  }
}
