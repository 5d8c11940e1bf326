package org.flamingochute.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import io.vavr.control.Either;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.schema.FaultSettings;
import org.flamingochute.schema.ReadResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the offsets, retention and faults of the in-memory log. */
class InMemoryPlatformLogTest {

  private final VirtualTimers timers = new VirtualTimers();

  private static byte[] record(String text) {
    return text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  private static String offsetsOf(ReadResponse response) {
    return response.getRecordsList().stream()
        .map(record -> Long.toString(record.getOffset()))
        .collect(Collectors.joining(" "));
  }

  @ParameterizedTest(name = "{0} retained, {1} appended, read {3} from {2} returns {4}")
  @CsvSource({
    "10, 0, 0, 5, '', 0, 0",
    "10, 3, 0, 5, '0 1 2', 0, 3",
    "10, 3, 1, 1, '1', 0, 3",
    "10, 3, 3, 5, '', 0, 3",
    "10, 3, 8, 5, '', 0, 3",
    "3, 5, 2, 9, '2 3 4', 2, 5",
    "3, 5, 4, 9, '4', 2, 5",
  })
  void readReturnsRecordsInOrder(
      long retained,
      int appended,
      long from,
      int maximum,
      String offsets,
      long earliest,
      long next) {
    InMemoryPlatformLog log = new InMemoryPlatformLog(timers, retained);
    for (int i = 0; i < appended; i++) {
      log.append(List.of(record("record" + i)));
    }
    ReadResponse response = log.read(from, maximum).join().get();
    assertThat(offsetsOf(response), equalTo(offsets));
    assertThat(response.getEarliestOffset(), equalTo(earliest));
    assertThat(response.getNextOffset(), equalTo(next));
  }

  @ParameterizedTest(name = "a read from {0} has expired")
  @CsvSource({"-1", "0", "1"})
  void readOfExpiredOffsetReturnsEarliestOffset(long from) {
    InMemoryPlatformLog log = new InMemoryPlatformLog(timers, 3);
    log.append(List.of(record("a"), record("b"), record("c"), record("d"), record("e")));
    PlatformError error = log.read(from, 9).join().getLeft();
    assertThat(error, instanceOf(PlatformError.Expired.class));
    assertThat(((PlatformError.Expired) error).earliestOffset(), equalTo(2L));
  }

  static Stream<Arguments> faults() {
    return Stream.of(
        Arguments.of(FaultSettings.newBuilder().setLogDown(true), PlatformError.Refused.class, 0),
        Arguments.of(
            FaultSettings.newBuilder().setLostAppendReplies(1), PlatformError.Unknown.class, 1),
        Arguments.of(
            FaultSettings.newBuilder().setLostAppendReplies(1).setDuplicateAppends(1),
            PlatformError.Unknown.class,
            2),
        Arguments.of(FaultSettings.newBuilder().setDuplicateAppends(1), null, 2),
        Arguments.of(FaultSettings.newBuilder(), null, 1));
  }

  @ParameterizedTest(name = "{0} returns {1} and stores {2}")
  @MethodSource("faults")
  void appendUnderFaultStoresAndReplies(
      FaultSettings.Builder faults, Class<? extends PlatformError> error, long stored) {
    InMemoryPlatformLog log = new InMemoryPlatformLog(timers, 10);
    log.applyFaults(faults.build());
    Either<PlatformError, Long> result = log.append(List.of(record("a"))).join();
    assertThat(log.recordCount(), equalTo(stored));
    if (error == null) {
      assertThat(result, equalTo(Either.right(0L)));
      return;
    }
    assertThat(result.getLeft(), instanceOf(error));
  }

  @ParameterizedTest(name = "reply {0} is lost with one lost reply configured: {1}")
  @CsvSource({"1, true", "2, false"})
  void lostReplyFaultAppliesOnce(int call, boolean lost) {
    InMemoryPlatformLog log = new InMemoryPlatformLog(timers, 10);
    log.applyFaults(FaultSettings.newBuilder().setLostAppendReplies(1).build());
    Either<PlatformError, Long> result = null;
    for (int i = 0; i < call; i++) {
      result = log.append(List.of(record("a"))).join();
    }
    assertThat(result.isLeft(), equalTo(lost));
  }
}
