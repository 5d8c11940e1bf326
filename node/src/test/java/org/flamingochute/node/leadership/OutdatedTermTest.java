package org.flamingochute.node.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.activej.eventloop.Eventloop;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.platform.standin.FleetSettings;
import org.flamingochute.platform.standin.PlatformServer;
import org.flamingochute.platform.standin.WorkPayload;
import org.flamingochute.platform.wire.DeclarationCodec;
import org.flamingochute.platform.wire.MachineClient;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StorePageOutcome;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.platform.wire.WorkerReportCodec;
import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leader that is paused until a successor may act, and then sends the commands of
 * records whose response it reads only now.
 */
class OutdatedTermTest {
  private static final long AWAIT_TIMEOUT_SECONDS = 60;
  private static final long TIMEOUT_MILLISECONDS = 10_000;
  private static final long POLL_INTERVAL_MILLISECONDS = 10;
  private static final String DECLARATION =
      "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"p\"}],\"limits\":{},\"tenants\":[]}";
  private static final WorkPayload PAYLOAD = new WorkPayload(1, 100, "team", 0, false);

  private final EventLoopGroup group = EventLoopGroup.start("leader", 1);
  private final ExchangeClient exchanges =
      new ExchangeClient(group, ExchangeLimits.builder().build(), ExchangeListener.NONE);
  private final Eventloop loop = group.next();
  private final NodeClock clock = new NodeClock();
  private final Term term = new Term();
  private PlatformServer platform;
  private NumericAddress address;
  private Scheduler scheduler;

  /** A term that may be outdated. */
  private static final class Term implements LeadershipContext {
    private final CountDownLatch changed = new CountDownLatch(1);
    private volatile boolean outdated;

    @Override
    public boolean beginStart(SchedulerCommand.StartTask start) {
      return true;
    }

    @Override
    public long epoch() {
      return 1;
    }

    @Override
    public long leaseMilliseconds() {
      return TIMEOUT_MILLISECONDS;
    }

    @Override
    public boolean canRenewLeases() {
      return !outdated;
    }

    @Override
    public boolean canStartRuns() {
      return !outdated;
    }

    @Override
    public boolean canCommandMachines() {
      return !outdated;
    }

    @Override
    public void onChanged() {
      changed.countDown();
    }

    @Override
    public void onFenced(String by) {}

    @Override
    public boolean isTermOver() {
      return false;
    }

    private void awaitChange() throws InterruptedException {
      assertThat(changed.await(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }
  }

  @BeforeEach
  void startPlatform() throws Exception {
    platform =
        PlatformServer.start(
            FleetSettings.withShortDurations(List.of(new FleetSettings.PoolSize("p", 1))),
            "127.0.0.1:0");
    address = NumericAddress.parse(platform.address()).orElseThrow();
    scheduler =
        new Scheduler(
            SchedulerSettings.builder().build(),
            DeclarationCodec.read(DECLARATION.getBytes(StandardCharsets.UTF_8)),
            PredecessorState.OVER,
            0,
            0);
  }

  @AfterEach
  void close() {
    exchanges.close();
    group.close();
    platform.close();
  }

  private String get(String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + platform.address() + path)).build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  private WorkerReport awaitWorker() throws Exception {
    StoreClient store = new StoreClient(exchanges, address);
    while (true) {
      StorePageOutcome page =
          store
              .readNewest(StoreTopic.WORKERS, "", TIMEOUT_MILLISECONDS)
              .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (page instanceof StorePageOutcome.Page arrived && !arrived.records().isEmpty()) {
        return WorkerReportCodec.read(
            arrived.records().getFirst().key(), arrived.records().getFirst().value(), 0);
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
  }

  private static SchedulerCommand.StartTask startOf(WorkerReport worker, String job) {
    return new SchedulerCommand.StartTask(
        worker.key(), new TaskId(new JobId(job), 0, 0, 0), 1, PAYLOAD.text(), "");
  }

  @Test
  void machineIsNotMaintained() throws Exception {
    MachineCommandSender sender =
        new MachineCommandSender(
            clock, new MachineClient(exchanges, address), term, scheduler, "holder");
    term.outdated = true;
    loop.execute(
        () -> sender.maintain(new SchedulerCommand.MaintainMachine(new MachineId("machine-0"), 1)));
    term.awaitChange();
    assertThat(get("/ledger"), containsString("\"most_in_maintenance\":0"));
  }

  /** Its record was replaced by one without the machine while it waited for the store. */
  @Test
  void machineThatIsNoLongerRecordedIsNotMaintained() throws Exception {
    MachineCommandSender sender =
        new MachineCommandSender(
            clock, new MachineClient(exchanges, address), term, scheduler, "holder");
    loop.execute(
        () -> sender.maintain(new SchedulerCommand.MaintainMachine(new MachineId("machine-0"), 1)));
    term.awaitChange();
    assertThat(get("/ledger"), containsString("\"most_in_maintenance\":0"));
  }

  @Test
  void taskIsNotStarted() throws Exception {
    WorkerReport worker = awaitWorker();
    WorkerSession session =
        new WorkerSession(loop, clock, new WorkerClient(exchanges), term, scheduler, worker);
    loop.execute(session::start);
    term.awaitChange();
    loop.execute(
        () -> {
          term.outdated = true;
          session.startTask(startOf(worker, "00000000000000a1"));
          term.outdated = false;
          session.startTask(startOf(worker, "00000000000000a2"));
        });
    while (!get("/ledger").contains("00000000000000a2")) {
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    assertThat(get("/ledger"), not(containsString("00000000000000a1")));
  }
}
