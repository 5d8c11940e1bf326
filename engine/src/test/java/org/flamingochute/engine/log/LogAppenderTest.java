package org.flamingochute.engine.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.fake.Cluster;
import org.flamingochute.engine.fake.FakeLog;
import org.flamingochute.engine.fake.PausableTimers;
import org.flamingochute.engine.fake.VirtualTimers;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.Tick;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the outcome that an appender reports, and the copies that it leaves in the log, under each
 * fault of the log.
 */
class LogAppenderTest {

  private static final long TIMEOUT_MILLISECONDS = 5_000;

  private final VirtualTimers clock = new VirtualTimers();
  private final PausableTimers process = new PausableTimers(clock);
  private final FakeLog log = new FakeLog(clock);
  private final AgreedState agreed = AgreedState.empty();
  private final MetricRegistry metrics = new MetricRegistry();
  private final LogAppender appender = newAppender();

  private LogAppender newAppender() {
    Incarnation self = new Incarnation("entry-1-a");
    FakeLog.Connection connection = log.connect(process);
    FreshnessMonitor freshness = new FreshnessMonitor(agreed, process, self, 3_000);
    LogFollower follower =
        new LogFollower(connection, agreed, process, freshness, Duration.ofMillis(100), metrics);
    LogAppender created =
        new LogAppender(connection, follower, process, self, Duration.ofMillis(4), metrics);
    agreed.addListener(created);
    follower.addListener(created);
    return created;
  }

  private CompletableFuture<AppendOutcome> append() {
    return appender.append(
        LogRecord.newBuilder().setTick(Tick.getDefaultInstance()), TIMEOUT_MILLISECONDS);
  }

  static Stream<Arguments> faults() {
    return Stream.of(
        fault("none", log -> {}, "Applied", 1),
        fault("one reply lost", log -> log.loseReplies(1), "Applied", 1),
        fault("many replies lost", log -> log.loseReplies(3), "Applied", 1),
        fault("stored twice", log -> log.duplicateAppends(1), "Applied", 2),
        fault("slow", log -> log.setLatencyMilliseconds(400), "Applied", 1),
        fault("down", log -> log.setDown(true), "Unknown", 0),
        fault("one append lost", log -> log.loseAppends(1), "Applied", 1),
        fault(
            "one append lost, then refusing", LogAppenderTest::loseAppendThenRefuse, "Unknown", 0),
        fault("refusing", log -> log.setRefusing(true), "NotAppended", 0));
  }

  private static void loseAppendThenRefuse(FakeLog log) {
    log.loseAppends(1);
    log.setRefusing(true);
  }

  private static Arguments fault(String name, Consumer<FakeLog> fault, String outcome, int copies) {
    return Arguments.of(Named.of(name, fault), outcome, copies);
  }

  @ParameterizedTest
  @MethodSource("faults")
  void outcomeAndCopiesMatchTheFault(Consumer<FakeLog> fault, String outcome, int copies) {
    fault.accept(log);
    CompletableFuture<AppendOutcome> future = append();
    clock.advance(2 * TIMEOUT_MILLISECONDS);
    assertThat(Cluster.result(future).getClass().getSimpleName(), is(outcome));
    assertThat(log.records().size(), is(copies));
    assertThat(appender.pendingRecords(), is(0));
  }

  @Test
  void concurrentRecordsAreSentInOneAppend() {
    for (int i = 0; i < 100; i++) {
      append();
    }
    clock.advance(1_000);
    assertThat(log.records().size(), is(100));
    assertThat(metrics.counter("log.appends").getCount(), is(1L));
  }

  @Test
  void expiredRecordDoesNotReachTheLogLater() {
    log.setRefusing(true);
    final CompletableFuture<AppendOutcome> future = append();
    clock.advance(TIMEOUT_MILLISECONDS + 1_000);
    log.setRefusing(false);
    clock.advance(TIMEOUT_MILLISECONDS);
    assertThat(Cluster.result(future).getClass().getSimpleName(), is("NotAppended"));
    assertThat(log.records().size(), is(0));
  }
}
