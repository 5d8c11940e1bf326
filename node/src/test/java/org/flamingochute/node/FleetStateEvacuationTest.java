package org.flamingochute.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against starts in a data centre whose evacuation a node has missed or forgotten, against a
 * data centre that stays empty after its request was removed, and against a request that cannot be
 * valid but has an effect.
 */
class FleetStateEvacuationTest {
  private static final DataCentreId A = new DataCentreId("a");
  private static final DataCentreId B = new DataCentreId("b");

  private final Logger logger = Logger.getLogger(FleetState.class.getName());
  private final List<String> logLines = new ArrayList<>();
  private final List<Set<DataCentreId>> changes = new ArrayList<>();
  private final FleetState state = new FleetState(new NodeClock(), Set.of(A, B));
  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord line) {
          logLines.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  private final class RecordingListener implements FleetState.Listener {
    @Override
    public void onEvacuationsChanged(Set<DataCentreId> dataCentres) {
      changes.add(dataCentres);
    }

    @Override
    public void onDeclarationChanged(FleetDeclaration declaration) {}

    @Override
    public void onWaveRequested(WaveRequest request) {}

    @Override
    public void onWorkerListed(WorkerReport report) {}

    @Override
    public void onWorkerUnlisted(InstanceId worker) {}

    @Override
    public void onJobStored(StoredJob job) {}

    @Override
    public void onJobCancelled(JobId job) {}
  }

  @BeforeEach
  void start() {
    logger.addHandler(handler);
    state.setListener(Optional.of(new RecordingListener()));
  }

  @AfterEach
  void stop() {
    logger.removeHandler(handler);
  }

  private static StoreRecord record(String key, String value, long offset) {
    return new StoreRecord(key, value.getBytes(StandardCharsets.UTF_8), offset);
  }

  private void append(String key, String value, long offset) {
    state.declarationListener().onRecord(record(key, value, offset));
  }

  private void reload(StoreRecord... records) {
    state.declarationListener().onSnapshot(List.of(records));
  }

  @Test
  void requestHoldsUntilItsTombstone() {
    append("evacuate/a", "{}", 1);
    assertThat("requested", state.evacuatedDataCentres(), is(Set.of(A)));
    append("evacuate/b", " {\"reason\": \"power\"} ", 2);
    append("evacuate/a", "{}", 3);
    append("evacuate/a", "", 4);
    append("evacuate/a", "", 5);
    assertThat("one ended", state.evacuatedDataCentres(), is(Set.of(B)));
    assertThat("changes", changes, is(List.of(Set.of(A), Set.of(A, B), Set.of(B))));
    assertThat(logLines.toString(), logLines, hasSize(3));
    assertThat(logLines.getFirst(), is("event=evacuation_requested data_centre=a"));
    assertThat(logLines.getLast(), is("event=evacuation_ended data_centre=a"));
  }

  /** The store drops no record of a key, so a complete read that lacks it shows its tombstone. */
  @ParameterizedTest
  @CsvSource({"'{}', true", "'', false"})
  void requestIsReadAgainAfterStoreOutage(String value, boolean stays) {
    append("evacuate/a", "{}", 1);
    reload(record("evacuate/a", value, 1), record("evacuate/b", "{}", 2));
    assertThat(state.evacuatedDataCentres(), is(stays ? Set.of(A, B) : Set.of(B)));
    reload(record("config", "{\"version\":1}", 3));
    assertThat("keys are gone", state.evacuatedDataCentres(), is(empty()));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "evacuate/c    | {}",
        "evacuate/A    | {}",
        "evacuate/a/   | {}",
        "evacuate/     | {}",
        "evacuate/a    | []",
        "evacuate/a    | true",
        "evacuate/a    | null",
        "evacuate/a    | {",
        "evacuate/a    | {} {}",
        "evacuate/a    | {}x",
        "evacuate/a    | ' '",
      })
  void refusedRequestIsLoggedOnceAndChangesNothing(String key, String value) {
    append("evacuate/b", "{}", 1);
    append(key, value, 2);
    reload(record("evacuate/b", "{}", 1), record(key, value, 2));
    append(key, "", 3);
    assertThat(state.evacuatedDataCentres(), is(Set.of(B)));
    assertThat("changes", changes, is(List.of(Set.of(B))));
    assertThat(logLines.toString(), logLines, hasSize(2));
    assertThat(logLines.getLast(), containsString("event=evacuation_refused key=\"" + key + "\""));
    assertThat(logLines.getLast(), containsString(" value=\"" + value + "\""));
  }

  /**
   * Guards against a log that is flooded, or a parser that fails, for a value of another writer.
   */
  @ParameterizedTest
  @ValueSource(strings = {"[", "{\"a\":", "\u0003\u0001", "9"})
  void longValueIsLoggedInPart(String part) {
    append("evacuate/a", part.repeat(100_000), 1);
    assertThat(state.evacuatedDataCentres(), is(empty()));
    assertThat(logLines, hasSize(1));
    assertThat("length of the line", logLines.getFirst().length() < 1_000, is(true));
    assertThat(logLines.getFirst().chars().noneMatch(Character::isISOControl), is(true));
  }

  /** Guards against a typing error that ends an evacuation. */
  @Test
  void refusedValueLeavesAnEarlierRequestInForce() {
    append("evacuate/a", "{}", 1);
    append("evacuate/a", "no", 2);
    reload(record("evacuate/a", "no", 2));
    assertThat("unreadable", state.evacuatedDataCentres(), is(Set.of(A)));
    append("evacuate/a", "", 3);
    assertThat("ended", state.evacuatedDataCentres(), is(empty()));
  }

  @Test
  void everyDataCentreIsAcceptedIfNoneIsDeclared() {
    FleetState undeclared = new FleetState();
    undeclared.declarationListener().onRecord(record("evacuate/c", "{}", 1));
    assertThat(undeclared.evacuatedDataCentres(), is(Set.of(new DataCentreId("c"))));
  }
}
