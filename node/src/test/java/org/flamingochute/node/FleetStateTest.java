package org.flamingochute.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against LOST: an entry of another writer among the reports of workers stops a node from
 * reading the reports beside it, or from following them. It must be skipped with one log line.
 */
class FleetStateTest {
  private static final String VALID =
      "{\"service\":\"p\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\",\"state\":\"ready\","
          + "\"born\":17,\"capacity\":{\"cpu\":16000,\"mem_mb\":32768},\"labels\":[\"k\",\"r1\"]}";

  private static final int DEEP_LEVELS = 100_000;

  private final Logger logger = Logger.getLogger(FleetState.class.getPackageName());
  private final List<String> logLines = new ArrayList<>();
  private final FleetState state = new FleetState();
  private final List<String> listed = new ArrayList<>();
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

  @BeforeEach
  void start() {
    logger.addHandler(handler);
    state.setListener(Optional.of(new RecordingListener()));
  }

  @AfterEach
  void stop() {
    logger.removeHandler(handler);
  }

  private final class RecordingListener implements FleetState.Listener {
    @Override
    public void onWorkerListed(WorkerReport report) {
      listed.add(report.key().id().value());
    }

    @Override
    public void onWorkerUnlisted(InstanceId worker) {
      listed.remove(worker.value());
    }

    @Override
    public void onDeclarationChanged(FleetDeclaration declaration) {}

    @Override
    public void onWaveRequested(WaveRequest request) {}

    @Override
    public void onJobStored(StoredJob job) {}

    @Override
    public void onJobCancelled(JobId job) {}
  }

  private static StoreRecord record(String key, String value, long offset) {
    return new StoreRecord(key, value.getBytes(StandardCharsets.UTF_8), offset);
  }

  private static Arguments entry(String description, String key, String value) {
    return arguments(description, key, value);
  }

  private static Arguments changed(String description, String part, String replacement) {
    return entry(description, "x-odd", VALID.replace(part, replacement));
  }

  static Stream<Arguments> oddEntries() {
    String deep = "[".repeat(DEEP_LEVELS);
    return Stream.of(
        entry("key of control characters", "\u0003\u001d\u0010", VALID),
        entry("key of control characters, unreadable value", "\u0003\u0001", "\u0001\u0002"),
        entry("empty key", "", VALID),
        entry("long key", "k".repeat(255), VALID),
        entry("no JSON", "x-odd", "\u0001\u0002\u0003"),
        entry("no object", "x-odd", "[1]"),
        entry("empty object", "x-odd", "{}"),
        entry("deep, not closed", "x-odd", deep),
        entry("deep", "x-odd", deep + "]".repeat(DEEP_LEVELS)),
        entry(
            "deep objects", "x-odd", "{\"a\":".repeat(DEEP_LEVELS) + "1" + "}".repeat(DEEP_LEVELS)),
        changed(
            "deep unknown field",
            "\"born\"",
            "\"extra\":" + deep + "]".repeat(DEEP_LEVELS) + ",\"born\""),
        changed("deep known field", "[\"k\",\"r1\"]", "[".repeat(900) + "]".repeat(900)),
        changed("port out of range", ":8080", ":80800"),
        changed("port 0", ":8080", ":0"),
        changed("negative port", ":8080", ":-1"),
        changed("long port", ":8080", ":" + "9".repeat(1_000)),
        changed("address with octet out of range", "10.0.0.9", "10.0.0.900"),
        changed("multicast address", "10.0.0.9", "224.0.0.1"),
        changed("broadcast address", "10.0.0.9", "255.255.255.255"),
        changed("wildcard address", "10.0.0.9", "0.0.0.0"),
        changed("huge start time", "17", "1" + "0".repeat(400)),
        changed("start time with huge exponent", "17", "1e999999999"),
        changed("start time beyond 64 bits", "17", "9223372036854775808"),
        changed("start time with a fraction", "17", "17.5"),
        changed("negative start time", "17", "-17"),
        changed("no start time", "\"born\":17,", ""),
        changed("huge capacity", "16000", "1" + "0".repeat(400)),
        changed("capacity beyond 32 bits", "16000", "99999999999"),
        changed("capacity at the limit of 64 bits", "16000", "9223372036854775807"),
        changed("negative capacity", "32768", "-1"),
        changed("huge digits", "16000", "1".repeat(200_000)),
        changed("no capacity", "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768},", ""),
        changed("capacity of another type", "{\"cpu\":16000,\"mem_mb\":32768}", "7"),
        changed("unknown state", "\"ready\"", "\"lost\""),
        changed("state of another type", "\"ready\"", "{}"),
        changed("long state", "ready", "s".repeat(100_000)),
        changed("no pool", "\"service\":\"p\",", ""),
        changed("pool with control characters", "\"p\"", "\"p\\u0000\""),
        changed("long pool", "\"p\"", "\"" + "p".repeat(5_000) + "\""),
        changed("long data centre", "\"zone\":\"a\"", "\"zone\":\"" + "a".repeat(5_000) + "\""),
        changed("labels of another type", "[\"k\",\"r1\"]", "[1,2]"));
  }

  /** A node that starts reads the entry between the reports of two workers. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("oddEntries")
  void snapshotSkipsOddEntry(String description, String key, String value) {
    state
        .workerListener()
        .onSnapshot(
            List.of(record("i-1", VALID, 1), record(key, value, 2), record("i-2", VALID, 3)));
    assertThat(listed, containsInAnyOrder("i-1", "i-2"));
    assertOneWarning(2);
  }

  /** A node at work reads the entry between the reports of two workers. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("oddEntries")
  void followerSkipsOddEntry(String description, String key, String value) {
    state.workerListener().onRecord(record("i-1", VALID, 1));
    state.workerListener().onRecord(record(key, value, 2));
    state.workerListener().onRecord(record(key, "", 3));
    state.workerListener().onRecord(record("i-2", VALID, 4));
    assertThat(listed, contains("i-1", "i-2"));
    assertThat(logLines, hasItem(containsString("event=record_unreadable")));
  }

  /** The last report of a worker holds if another writer overwrites it with an odd entry. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("oddEntries")
  void reportHoldsUnderOddEntry(String description, String key, String value) {
    state.workerListener().onRecord(record("i-1", VALID, 1));
    String oddValue = value.equals(VALID) ? "{}" : value;
    state.workerListener().onSnapshot(List.of(record("i-1", oddValue, 2), record("i-2", VALID, 3)));
    assertThat(listed, contains("i-1", "i-2"));
    assertOneWarning(2);
  }

  private void assertOneWarning(long offset) {
    List<String> warnings = new ArrayList<>();
    for (String line : logLines) {
      if (line.contains("event=record_unreadable")) {
        warnings.add(line);
      }
    }
    assertThat(warnings.toString(), warnings.size(), is(1));
    assertThat(warnings.getFirst(), containsString("offset=" + offset));
    assertThat("length of the line", warnings.getFirst().length() < 1_000, is(true));
    assertThat(warnings.getFirst().chars().noneMatch(Character::isISOControl), is(true));
  }
}
