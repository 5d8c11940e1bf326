package org.flamingochute.node.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.PlatformFixture;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StorePageOutcome;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.LeaderTerm;
import org.flamingochute.schema.scheduling.MachineCommands;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against one unreadable record of a former leader that keeps a node from taking over, hides
 * the records after it, or makes a job that may have run count as a new one.
 */
class UnreadableScheduleRecordTest {
  private static final long AWAIT_TIMEOUT_SECONDS = 60;
  private static final long TIMEOUT_MILLISECONDS = 10_000;
  private static final long LONG_POLL_MILLISECONDS = 100;

  /** Epoch of the first term; that of each further one is at least as much higher. */
  private static final long EPOCH = 1L << 20;

  private static final JobId UNREADABLE = new JobId("00000000000000a1");
  private static final JobId OUT_OF_RANGE = new JobId("00000000000000a2");
  private static final JobId COMPLETED = new JobId("00000000000000a3");
  private static final QueuedJob DEFINITION =
      QueuedJob.newBuilder()
          .setQueue("q")
          .setPolicy(QueuePolicy.newBuilder().setService("p").setMaximumAttempts(1))
          .addSteps(QueuedStep.newBuilder().setCount(1).setEstimateMilliseconds(100))
          .build();
  private static final String DECLARATION =
      "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"p\"}],\"tenants\":[]}";

  private final PlatformFixture fixture = new PlatformFixture("records");
  private final Eventloop loop = fixture.loop();
  private final NodeClock clock = new NodeClock();
  private final FleetState state = new FleetState();
  private final CompletableFuture<Boolean> leads = new CompletableFuture<>();
  private final StoreClient store = fixture.store();

  @BeforeEach
  void start() throws Exception {
    state
        .declarationListener()
        .onRecord(
            new StoreRecord(
                ScheduleKeys.DECLARATION, DECLARATION.getBytes(StandardCharsets.UTF_8), 1));
    for (JobId job : List.of(UNREADABLE, OUT_OF_RANGE, COMPLETED)) {
      store(StoreTopic.INTAKE, ScheduleKeys.job(job), DEFINITION.toByteArray());
    }
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private void store(StoreTopic topic, String key, byte[] value) throws Exception {
    store
        .append(
            topic,
            List.of(new KeyedValue(key, value)),
            Optional.empty(),
            OptionalLong.empty(),
            TIMEOUT_MILLISECONDS)
        .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Stores the term of a leader that has ended, while leases of earlier ones may be in force. */
  private void storeTerm() throws Exception {
    LeaderTerm term =
        LeaderTerm.newBuilder()
            .setEpoch(EPOCH)
            .setInstance("other/1")
            .setReleased(true)
            .setEarlierLeases(true)
            .build();
    store(StoreTopic.SCHEDULE, ScheduleKeys.LEADER_TERM, term.toByteArray());
  }

  private void awaitLeadership() throws Exception {
    SchedulerLeadership leadership =
        new SchedulerLeadership(
            new LeadershipDependencies(
                loop,
                clock,
                store,
                new WorkerClient(fixture.exchanges()),
                Optional.empty(),
                state.jobs(),
                SchedulerSettings.builder().build(),
                "node-0",
                0),
            state,
            1);
    StoreFollower schedule = follower(StoreTopic.SCHEDULE, leadership);
    StoreFollower intake = follower(StoreTopic.INTAKE, state.intakeListener());
    loop.execute(
        () -> {
          state.setListener(Optional.of(leadership));
          intake.start();
          schedule.start();
          leadership.setReady();
          leadership.start(schedule, intake, leads::complete);
        });
    assertThat(leads.get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
  }

  private StoreFollower follower(StoreTopic topic, TopicListener listener) {
    return new StoreFollower(loop, clock, store, topic, LONG_POLL_MILLISECONDS, 0, listener);
  }

  private JobPhase phaseOf(JobId job) throws Exception {
    CompletableFuture<JobPhase> phase = new CompletableFuture<>();
    loop.execute(() -> phase.complete(state.jobs().find(job).orElseThrow().phase()));
    return phase.get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void nodeTakesOverAfterCommandsOfAnInvalidMachine() throws Exception {
    MachineCommands commands = MachineCommands.newBuilder().setEpoch(EPOCH).addMachines("").build();
    storeTerm();
    store(StoreTopic.SCHEDULE, ScheduleKeys.MACHINE_COMMANDS, commands.toByteArray());
    awaitLeadership();
    assertThat("claims", newestEpoch() / EPOCH - 1, is(1L));
  }

  private long newestEpoch() throws Exception {
    StorePageOutcome page =
        store
            .readNewest(StoreTopic.SCHEDULE, "", TIMEOUT_MILLISECONDS)
            .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    for (StoreRecord record : ((StorePageOutcome.Page) page).records()) {
      if (record.key().equals(ScheduleKeys.LEADER_TERM)) {
        return LeaderTerm.parseFrom(record.value()).getEpoch();
      }
    }
    throw new IllegalStateException("no term is stored");
  }

  @Test
  void unreadableProgressDoesNotCountAsNoProgress() throws Exception {
    storeTerm();
    JobProgress outOfRange =
        JobProgress.newBuilder()
            .addGroups(TaskGroup.newBuilder().setWorker(-1).addIndexes(0))
            .build();
    JobProgress completed =
        JobProgress.newBuilder()
            .setPhase(JobProgress.Phase.COMPLETED)
            .setEndedMilliseconds(clock.wallClockMilliseconds())
            .build();
    byte[] unreadable = "no progress".getBytes(StandardCharsets.UTF_8);
    store(StoreTopic.SCHEDULE, ScheduleKeys.progress(UNREADABLE), unreadable);
    store(StoreTopic.SCHEDULE, ScheduleKeys.progress(OUT_OF_RANGE), outOfRange.toByteArray());
    store(StoreTopic.SCHEDULE, ScheduleKeys.progress(COMPLETED), completed.toByteArray());
    awaitLeadership();
    assertThat(phaseOf(UNREADABLE), is(JobPhase.RUNNING));
    assertThat(phaseOf(OUT_OF_RANGE), is(JobPhase.RUNNING));
    assertThat("record after unreadable ones", phaseOf(COMPLETED), is(JobPhase.COMPLETED));
  }
}
