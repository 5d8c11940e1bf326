package org.flamingochute.node.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;

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
import java.util.concurrent.atomic.AtomicLong;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.LoadShedding;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.NodeMetrics;
import org.flamingochute.node.store.IntakeWriter;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.platform.standin.FleetSettings;
import org.flamingochute.platform.standin.PlatformServer;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StorePageOutcome;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which submissions a node refuses while their pool is overloaded. Reads reach the platform
 * stand-in; appends reach it too, or a server that never responds.
 */
class JobRefusalTest {
  private static final long AWAIT_TIMEOUT_SECONDS = 30;
  private static final long TIMEOUT_MILLISECONDS = 10_000;
  private static final long LONG_POLL_MILLISECONDS = 100;
  private static final JobId JOB = new JobId("00000000000000a1");
  private static final JobId OTHER_JOB = new JobId("00000000000000a2");
  private static final String BODY = "{\"spec\":\"s\",\"job_steps\":[{\"count\":1,\"cpu\":10}]}";
  private static final String DECLARATION =
      """
      {"version":1,"routes":[{"name":"q","host":"127.0.0.1","path_prefix":"/q/","service":"p",
      "slack_factor":2.0,"slo_ms":1000,"timeout_ms":30000}],"services":[{"name":"p"}],
      "limits":{"max_body_bytes":65536},
      "tenants":[{"name":"t","api_keys":["k"],"weight":1}]}
      """;

  private final AtomicLong now = new AtomicLong(1_000_000);

  /** Stands still unless a test moves it, so that the load does not become old. */
  private final NodeClock clock =
      new NodeClock() {
        @Override
        public long steadyMilliseconds() {
          return now.get();
        }

        @Override
        public long wallClockMilliseconds() {
          return now.get();
        }
      };

  private final EventLoopGroup group = EventLoopGroup.start("refusal", 1);
  private final ExchangeClient exchanges =
      new ExchangeClient(group, ExchangeLimits.builder().build(), ExchangeListener.NONE);
  private final Eventloop loop = group.next();
  private final FleetState state = new FleetState();
  private final LoadShedding shedding = new LoadShedding(clock, state);
  private final HttpClient caller = HttpClient.newHttpClient();
  private final CountDownLatch loaded = new CountDownLatch(1);
  private PlatformServer platform;
  private ServerSocket silentServer;
  private StoreClient store;
  private StoreFollower intake;

  @BeforeEach
  void start() throws Exception {
    platform =
        PlatformServer.start(
            FleetSettings.withShortDurations(List.of(new FleetSettings.PoolSize("p", 1))),
            "127.0.0.1:0");
    store = storeAt(platform.address());
    silentServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    intake = follower(StoreTopic.INTAKE, state.intakeListener());
    byte[] declaration = DECLARATION.getBytes(StandardCharsets.UTF_8);
    loop.execute(
        () ->
            state
                .declarationListener()
                .onRecord(new StoreRecord(ScheduleKeys.DECLARATION, declaration, 1)));
  }

  private StoreClient storeAt(String address) {
    return new StoreClient(exchanges, NumericAddress.parse(address).orElseThrow());
  }

  private StoreFollower follower(StoreTopic topic, TopicListener delivered) {
    TopicListener listener =
        new TopicListener() {
          @Override
          public void onSnapshot(List<StoreRecord> records) {
            delivered.onSnapshot(records);
            // From then on only a refusal makes the node read the topic.
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
  private void loadJobs() throws Exception {
    loop.execute(intake::start);
    assertThat(loaded.await(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
  }

  @AfterEach
  void close() throws Exception {
    exchanges.close();
    group.close();
    platform.close();
    silentServer.close();
  }

  private JobServlet servletWith(StoreClient appendedTo) {
    return servletWith(appendedTo, Optional.of(shedding));
  }

  private JobServlet servletWith(StoreClient appendedTo, Optional<LoadShedding> usedShedding) {
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

  private JobServlet servletWithSilentStore() {
    return servletWith(storeAt("127.0.0.1:" + silentServer.getLocalPort()));
  }

  /** The team has submitted the job of this second, and its pool is overloaded. */
  private void overload() {
    QueuedJob earlier =
        QueuedJob.newBuilder()
            .setQueue("q")
            .setOrganisation("t")
            .setAcceptedMilliseconds(clock.wallClockMilliseconds())
            .build();
    loop.execute(
        () -> {
          state.applyJob(new JobId("00000000000000e1"), earlier);
          shedding.onLoadRead(FleetLoad.newBuilder().putWaitMilliseconds("p", 60_000).build(), 0);
        });
  }

  /** Submits a job to a server of its own; returns the response. */
  private HttpResponse<String> submit(JobServlet servlet, JobId job, long timeoutMilliseconds)
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
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + boundPort + "/q/" + job))
            .timeout(Duration.ofSeconds(AWAIT_TIMEOUT_SECONDS))
            .header("Authorization", "Token k")
            .header("X-Timeout-Ms", Long.toString(timeoutMilliseconds))
            .POST(HttpRequest.BodyPublishers.ofString(BODY))
            .build();
    try {
      return caller.send(request, HttpResponse.BodyHandlers.ofString());
    } finally {
      loop.execute(server::close);
    }
  }

  private static String retryAfterOf(HttpResponse<String> response) {
    return response.headers().firstValue("Retry-After").orElse("");
  }

  private List<String> storedKeys() throws Exception {
    StorePageOutcome page =
        store
            .readNewest(StoreTopic.INTAKE, "", TIMEOUT_MILLISECONDS)
            .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return ((StorePageOutcome.Page) page).records().stream().map(StoreRecord::key).toList();
  }

  /** Guards against a job that is refused and stored nevertheless, so that it runs. */
  @Test
  void refusedJobIsNotStored() throws Exception {
    loadJobs();
    overload();
    JobServlet servlet = servletWith(store);
    HttpResponse<String> response = submit(servlet, JOB, TIMEOUT_MILLISECONDS);
    assertThat(response.statusCode(), is(429));
    assertThat(retryAfterOf(response), matchesPattern("[3-5]"));
    loop.execute(shedding::forgetLoad);
    response = submit(servlet, OTHER_JOB, TIMEOUT_MILLISECONDS);
    assertThat("status without known load", response.statusCode(), is(200));
    assertThat(retryAfterOf(response), is(""));
    assertThat(storedKeys(), is(List.of(ScheduleKeys.job(OTHER_JOB))));
  }

  /** Guards against a refusal of a job that another node has stored since this node's last read. */
  @Test
  void jobStoredByAnotherNodeIsNotRefused() throws Exception {
    loadJobs();
    overload();
    QueuedJob stored = QueuedJob.newBuilder().setQueue("q").setOrganisation("t").build();
    store
        .append(
            StoreTopic.INTAKE,
            List.of(new KeyedValue(ScheduleKeys.job(JOB), stored.toByteArray())),
            Optional.empty(),
            OptionalLong.empty(),
            TIMEOUT_MILLISECONDS)
        .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertThat(submit(servletWith(store), JOB, TIMEOUT_MILLISECONDS).statusCode(), is(200));
  }

  /** Guards against a refusal of a job of which an own append may still be executed. */
  @Test
  void jobWhoseAppendGotNoResponseIsNotRefused() throws Exception {
    loadJobs();
    JobServlet servlet = servletWithSilentStore();
    assertThat(submit(servlet, JOB, 200).statusCode(), is(504));
    overload();
    assertThat(submit(servlet, OTHER_JOB, 200).statusCode(), is(429));
    assertThat(submit(servlet, JOB, 200).statusCode() == 429, is(false));
  }

  /**
   * Guards against the promise "not stored" for a job whose earlier append may still be executed:
   * the repeated call's append waits for the one in progress, and is not sent before its timeout.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void jobWhoseAppendGotNoResponseIsNotReportedAsNotStored(boolean sheds) throws Exception {
    loadJobs();
    JobServlet servlet =
        servletWith(
            storeAt("127.0.0.1:" + silentServer.getLocalPort()),
            sheds ? Optional.of(shedding) : Optional.empty());
    assertThat("first call", submit(servlet, JOB, 200).statusCode(), is(504));
    assertThat("repeated call", submit(servlet, JOB, 151).statusCode(), is(504));
  }

  /** Guards against the same promise while the store counts as unavailable. */
  @Test
  void unsettledJobIsNotReportedAsNotStoredDuringAnOutage() throws Exception {
    loadJobs();
    JobServlet servlet = servletWithSilentStore();
    assertThat("first call", submit(servlet, JOB, 200).statusCode(), is(504));
    int calls = 0;
    String body = "";
    while (!body.contains("the store does not answer")) {
      // Less than the time after which a call probes the store again.
      now.addAndGet(400);
      calls++;
      body = submit(servlet, new JobId("%016x".formatted(calls)), 151).body();
    }
    assertThat("repeated call", submit(servlet, JOB, 151).statusCode(), is(504));
  }

  /** Guards against a refusal by a node that cannot know whether the job is stored. */
  @Test
  void jobIsNotRefusedIfTheJobsCannotBeRead() throws Exception {
    overload();
    assertThat(submit(servletWith(store), JOB, TIMEOUT_MILLISECONDS).statusCode(), is(200));
    assertThat(storedKeys(), is(List.of(ScheduleKeys.job(JOB))));
  }
}
