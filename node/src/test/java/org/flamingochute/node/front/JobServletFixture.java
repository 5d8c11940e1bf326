package org.flamingochute.node.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.LoadShedding;
import org.flamingochute.node.ManualClock;
import org.flamingochute.node.NodeMetrics;
import org.flamingochute.node.PlatformFixture;
import org.flamingochute.node.store.IntakeWriter;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StorePageOutcome;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;

/**
 * A node's API for callers beside the platform stand-in. Reads reach the stand-in; appends reach it
 * too, or a server that never responds.
 */
final class JobServletFixture implements AutoCloseable {
  static final long TIMEOUT_MILLISECONDS = 10_000;
  static final JobId JOB = new JobId("00000000000000a1");
  static final JobId OTHER_JOB = new JobId("00000000000000a2");

  private static final long AWAIT_TIMEOUT_SECONDS = 30;
  private static final long LONG_POLL_MILLISECONDS = 100;
  private static final String BODY = "{\"spec\":\"s\",\"job_steps\":[{\"count\":1,\"cpu\":10}]}";
  private static final String DECLARATION =
      """
      {"version":1,"routes":[{"name":"q","host":"127.0.0.1","path_prefix":"/q/","service":"p",
      "slack_factor":2.0,"slo_ms":1000,"timeout_ms":30000}],"services":[{"name":"p"}],
      "limits":{"max_body_bytes":65536},
      "tenants":[{"name":"t","api_keys":["k"],"weight":1}]}
      """;

  /** Stands still unless a test moves it, so that nothing becomes old. */
  private final ManualClock clock = new ManualClock();

  private final PlatformFixture fixture = new PlatformFixture("servlet");
  private final Eventloop loop = fixture.loop();
  private final FleetState state = new FleetState();
  private final LoadShedding shedding = new LoadShedding(clock, state);
  private final HttpClient caller = HttpClient.newHttpClient();
  private final CountDownLatch loaded = new CountDownLatch(1);
  private final ServerSocket silentServer;
  private final StoreClient store = fixture.store();
  private final StoreFollower intake;

  /** Starts the platform and declares one queue. */
  JobServletFixture() throws Exception {
    silentServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    intake = follower(StoreTopic.INTAKE, state.intakeListener());
    byte[] declaration = DECLARATION.getBytes(StandardCharsets.UTF_8);
    loop.execute(
        () ->
            state
                .declarationListener()
                .onRecord(new StoreRecord(ScheduleKeys.DECLARATION, declaration, 1)));
  }

  Eventloop loop() {
    return loop;
  }

  ManualClock clock() {
    return clock;
  }

  FleetState state() {
    return state;
  }

  LoadShedding shedding() {
    return shedding;
  }

  StoreClient store() {
    return store;
  }

  StoreClient silentStore() {
    return fixture.storeAt("127.0.0.1:" + silentServer.getLocalPort());
  }

  private StoreFollower follower(StoreTopic topic, TopicListener delivered) {
    TopicListener listener =
        new TopicListener() {
          @Override
          public void onSnapshot(List<StoreRecord> records) {
            delivered.onSnapshot(records);
            // From then on only a call makes the node read the topic.
            intake.stop();
            loaded.countDown();
          }

          @Override
          public void onRecord(StoreRecord record) {
            delivered.onRecord(record);
          }
        };
    return new StoreFollower(loop, clock, store, topic, LONG_POLL_MILLISECONDS, 0, listener);
  }

  /** Reads the topic of jobs once. */
  void loadJobs() throws Exception {
    loop.execute(intake::start);
    assertThat(loaded.await(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
  }

  @Override
  public void close() throws Exception {
    fixture.close();
    silentServer.close();
  }

  JobServlet servletWith(StoreClient appendedTo, Optional<LoadShedding> usedShedding) {
    StoreFollower other = follower(StoreTopic.DECLARATIONS, state.declarationListener());
    return new JobServlet(
        new HttpDependencies(
            loop,
            clock,
            state,
            new IntakeWriter(loop, clock, appendedTo),
            new JobFreshness(intake, intake, TIMEOUT_MILLISECONDS),
            new NodeMetrics(),
            new JobLimits(1 << 20),
            usedShedding),
        new CallAuthorizer(state, other, Long.MAX_VALUE));
  }

  /** Submits a job to a server of its own; returns the response. */
  HttpResponse<String> submit(JobServlet servlet, JobId job, long timeoutMilliseconds)
      throws Exception {
    return call("POST", servlet, job, timeoutMilliseconds);
  }

  /** Sends a call for a job to a server of its own; returns the response. */
  HttpResponse<String> call(String method, JobServlet servlet, JobId job, long timeoutMilliseconds)
      throws Exception {
    HttpServer server =
        HttpServer.builder(loop, servlet)
            .withListenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .build();
    CompletableFuture<Integer> port = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            server.listen();
            port.complete(server.getBoundAddresses().getFirst().getPort());
          } catch (IOException e) {
            port.completeExceptionally(e);
          }
        });
    int boundPort = port.get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    HttpRequest.BodyPublisher body =
        method.equals("POST")
            ? HttpRequest.BodyPublishers.ofString(BODY)
            : HttpRequest.BodyPublishers.noBody();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + boundPort + "/q/" + job))
            .timeout(Duration.ofSeconds(AWAIT_TIMEOUT_SECONDS))
            .header("Authorization", "Token k")
            .header("X-Timeout-Ms", Long.toString(timeoutMilliseconds))
            .method(method, body)
            .build();
    try {
      return caller.send(request, HttpResponse.BodyHandlers.ofString());
    } finally {
      loop.execute(server::close);
    }
  }

  /** Appends a record to the topic of jobs, as another node does. */
  void append(KeyedValue record) throws Exception {
    store
        .append(
            StoreTopic.INTAKE,
            List.of(record),
            Optional.empty(),
            OptionalLong.empty(),
            TIMEOUT_MILLISECONDS)
        .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  List<String> storedKeys() throws Exception {
    StorePageOutcome page =
        store
            .readNewest(StoreTopic.INTAKE, "", TIMEOUT_MILLISECONDS)
            .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return ((StorePageOutcome.Page) page).records().stream().map(StoreRecord::key).toList();
  }
}
