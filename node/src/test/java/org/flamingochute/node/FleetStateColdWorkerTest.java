package org.flamingochute.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a worker that counts as cold for too long or too short a time, and against a
 * scheduler pass for each report of a worker that is warming up.
 */
class FleetStateColdWorkerTest {
  private static final String REPORT =
      "{\"service\":\"p\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\",\"state\":\"%s\","
          + "\"born\":%d,\"cold_left_ms\":%d,\"seq_no\":%d,"
          + "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768}}";

  private final FleetState state =
      new FleetState(
          new NodeClock() {
            @Override
            public long steadyMilliseconds() {
              return now;
            }
          },
          Set.of());
  private final List<String> calls = new ArrayList<>();
  private long now = 10_000;
  private long offset;

  private final class RecordingListener implements FleetState.Listener {
    @Override
    public void onWorkerListed(WorkerReport report) {
      calls.add("listed");
    }

    @Override
    public void onColdTimeChanged(WorkerReport report) {
      calls.add("cold until " + report.coldUntil());
    }

    @Override
    public void onDeclarationChanged(FleetDeclaration declaration) {}

    @Override
    public void onWaveRequested(WaveRequest request) {}

    @Override
    public void onWorkerUnlisted(InstanceId worker) {}

    @Override
    public void onJobStored(StoredJob job) {}

    @Override
    public void onJobCancelled(JobId job) {}
  }

  @BeforeEach
  void start() {
    state.setListener(Optional.of(new RecordingListener()));
  }

  private StoreRecord report(String workerState, long born, long coldMilliseconds) {
    offset++;
    String value = REPORT.formatted(workerState, born, coldMilliseconds, offset);
    return new StoreRecord("w", value.getBytes(StandardCharsets.UTF_8), offset);
  }

  private void read(StoreRecord record) {
    state.workerListener().onRecord(record);
  }

  private long coldUntil() {
    return state.workers().iterator().next().coldUntil();
  }

  @Test
  void newestReportCountsAlsoWithLongerTime() {
    read(report("ready", 1, 3_000));
    now += 500;
    read(report("ready", 1, 3_000));
    assertThat(coldUntil(), is(13_500L));
    now += 500;
    read(report("ready", 1, 4_000));
    assertThat(coldUntil(), is(15_000L));
    now += 500;
    read(report("ready", 1, 0));
    assertThat(coldUntil(), is(WorkerReport.WARM));
    assertThat(
        calls,
        is(
            List.of(
                "listed",
                "cold until 13500",
                "cold until 15000",
                "cold until " + WorkerReport.WARM)));
  }

  /** The store is read again after an outage, long after the worker has written its report. */
  @Test
  void recordThatIsReadAgainDoesNotExtendTheTime() {
    StoreRecord record = report("ready", 1, 3_000);
    read(record);
    now += 2_000;
    state.workerListener().onSnapshot(List.of(record));
    assertThat(coldUntil(), is(13_000L));
    assertThat(calls, is(List.of("listed")));
  }

  @Test
  void otherChangesOfReportOfColdWorkerAreAnnounced() {
    read(report("ready", 1, 3_000));
    now += 100;
    read(report("draining", 1, 2_900));
    read(report("ready", 2, 2_900));
    assertThat(calls, is(List.of("listed", "listed", "listed")));
  }

  /** Reports of warm workers differ in a counter only, which is not used. */
  @Test
  void warmWorkerIsAnnouncedOnce() {
    read(report("ready", 1, 0));
    now += 500;
    read(report("ready", 1, 0));
    assertThat(calls, is(List.of("listed")));
  }
}
