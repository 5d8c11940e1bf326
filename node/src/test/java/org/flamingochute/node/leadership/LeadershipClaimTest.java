package org.flamingochute.node.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.flamingochute.node.ClockReading;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.PlatformFixture;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StorePageOutcome;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.leadership.LeaderCandidate;
import org.flamingochute.scheduling.leadership.LeaderMonitor;
import org.flamingochute.schema.scheduling.LeaderTerm;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what a claim that is abandoned leaves in the store. */
class LeadershipClaimTest {
  private static final long TIMEOUT_SECONDS = 60;
  private static final long TIMEOUT_MILLISECONDS = 10_000;
  private static final long LONG_POLL_MILLISECONDS = 100;
  private static final LeaderCandidate CANDIDATE = new LeaderCandidate("node-0", 1);

  private final PlatformFixture fixture = new PlatformFixture("claim");
  private final Eventloop loop = fixture.loop();
  private final NodeClock clock = new NodeClock();
  private final CompletableFuture<Boolean> won = new CompletableFuture<>();
  private final StoreClient store = fixture.store();

  /** Completes the test's future with the outcome. */
  private final class OutcomeListener implements LeadershipClaim.Listener {
    @Override
    public void onWon(LeaderTerm term, ClockReading claimedAt) {
      won.complete(true);
    }

    @Override
    public void onLost() {
      won.complete(false);
    }
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private LeadershipClaim createClaim(boolean earlierLeases) {
    LeadershipDependencies dependencies =
        new LeadershipDependencies(
            loop,
            clock,
            store,
            new WorkerClient(fixture.exchanges()),
            Optional.empty(),
            new JobTable(),
            SchedulerSettings.builder().build(),
            "node-0",
            0);
    StoreFollower intake =
        new StoreFollower(
            loop,
            clock,
            store,
            StoreTopic.INTAKE,
            LONG_POLL_MILLISECONDS,
            0,
            new FleetState().intakeListener());
    LeaderTerm term =
        LeaderTerm.newBuilder()
            .setEpoch(1)
            .setInstance(CANDIDATE.holderName())
            .setRenewal(1)
            .setEarlierLeases(earlierLeases)
            .build();
    return new LeadershipClaim(
        dependencies, new LeaderMonitor(0, CANDIDATE), intake, term, new OutcomeListener());
  }

  private LeaderTerm newestTerm() throws Exception {
    StorePageOutcome page =
        store
            .readNewest(StoreTopic.SCHEDULE, "", TIMEOUT_MILLISECONDS)
            .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    for (StoreRecord record : ((StorePageOutcome.Page) page).records()) {
      if (record.key().equals(ScheduleKeys.LEADER_TERM)) {
        return LeaderTerm.parseFrom(record.value());
      }
    }
    throw new IllegalStateException("no term is stored");
  }

  /**
   * Guards against LOST: after a node has stopped during its claim, nobody leads until the renewal
   * of its term is overdue. The release must not hide leases of earlier leaders.
   */
  @ParameterizedTest(name = "earlier leases: {0}")
  @ValueSource(booleans = {false, true})
  void termOfAbandonedClaimIsReleased(boolean earlierLeases) throws Exception {
    loop.execute(
        () -> {
          LeadershipClaim claim = createClaim(earlierLeases);
          claim.start(0);
          claim.abandon();
        });
    assertThat(won.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(false));
    LeaderTerm term = newestTerm();
    assertThat(term.getReleased(), is(true));
    assertThat(term.getEarlierLeases(), is(earlierLeases));
  }
}
