package org.flamingochute.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a refusal of a job that this node may have stored, and against wrong counts of a
 * team's jobs.
 */
class LoadSheddingTest {
  private static final JobId JOB = new JobId("0123456789abcdef");
  private static final long NOW = 1_000_000;

  private final NodeClock clock =
      new NodeClock() {
        @Override
        public long steadyMilliseconds() {
          return NOW;
        }

        @Override
        public long wallClockMilliseconds() {
          return NOW;
        }
      };

  private final FleetState state = new FleetState();
  private final LoadShedding shedding = new LoadShedding(clock, state);

  private static QueuedJob job() {
    return QueuedJob.newBuilder()
        .setQueue("q")
        .setOrganisation("t")
        .setAcceptedMilliseconds(NOW)
        .setPolicy(QueuePolicy.newBuilder().setService("p").setObjectiveMilliseconds(1_000))
        .addSteps(QueuedStep.newBuilder().setCount(1).setEstimateMilliseconds(100))
        .build();
  }

  private static StoreRecord record(int number) {
    JobId id = new JobId("%016x".formatted(number));
    return new StoreRecord(ScheduleKeys.job(id), job().toByteArray(), number);
  }

  /** Declares a team with a rate of two jobs in a second, in an overloaded pool. */
  @BeforeEach
  void declareTeam() {
    String declaration =
        "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"p\"}],"
            + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"weight\":2}]}";
    state
        .declarationListener()
        .onRecord(
            new StoreRecord(
                ScheduleKeys.DECLARATION, declaration.getBytes(StandardCharsets.UTF_8), 1));
    shedding.onLoadRead(FleetLoad.newBuilder().putWaitMilliseconds("p", 60_000).build(), 0);
  }

  private void useUpRate() {
    state.intakeListener().onRecord(record(1));
    state.intakeListener().onRecord(record(2));
  }

  private boolean isRefused() {
    return shedding.mayRefuse(JOB, job()) && shedding.refusalOf(JOB, job()).isPresent();
  }

  @Test
  void jobsOfAllNodesAndOfThisNodeCount() {
    state.intakeListener().onRecord(record(1));
    assertThat(isRefused(), is(false));
    state.applyJob(new JobId("%016x".formatted(2)), job());
    assertThat(isRefused(), is(true));
  }

  /** This node applies a job when it is stored, and reads its record afterwards. */
  @Test
  void jobThatIsReadAgainCountsOnce() {
    state.applyJob(new JobId("%016x".formatted(1)), job());
    state.intakeListener().onRecord(record(1));
    assertThat(isRefused(), is(false));
  }

  /** A node that starts, or loads the topic again, accepts jobs. */
  @Test
  void jobsOfSnapshotDoNotCount() {
    state.intakeListener().onSnapshot(List.of(record(1), record(2), record(3)));
    assertThat(isRefused(), is(false));
  }
}
