package org.flamingochute.node.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.flamingochute.node.ClockReading;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.platform.standin.FleetSettings;
import org.flamingochute.platform.standin.PlatformServer;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.ProducerPosition;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreTopic;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how old a leader's permission to send commands is after a pause of its process. */
class ScheduleWriterTest {
  private static final long AWAIT_TIMEOUT_SECONDS = 60;
  private static final long VALIDITY_MILLISECONDS = 5_500;
  private static final long PAUSE_MILLISECONDS = 10_000;
  private static final long CALL_TIMEOUT_MILLISECONDS = 10_000;
  private static final KeyedValue RECORD = new KeyedValue("key", new byte[] {1});
  private static final KeyedValue TERM_RECORD = new KeyedValue("term", new byte[] {1});

  private final EventLoopGroup group = EventLoopGroup.start("writer", 1);
  private final EventLoopGroup successorGroup = EventLoopGroup.start("successor", 1);
  private final ExchangeClient exchanges = exchangesOf(group);
  private final ExchangeClient successorExchanges = exchangesOf(successorGroup);
  private final Eventloop loop = group.next();
  private final PausedClock clock = new PausedClock();
  private PlatformServer platform;

  /** A clock on which a pause of the process ends just before its next reading. */
  private static final class PausedClock extends NodeClock {
    private long pausedMilliseconds;
    private Optional<Runnable> pause = Optional.empty();

    /** Pauses the process before the next reading, and runs an action while it is paused. */
    void pauseBeforeNextReading(Runnable action) {
      pause = Optional.of(action);
    }

    @Override
    public ClockReading read() {
      if (pause.isPresent()) {
        Runnable action = pause.get();
        pause = Optional.empty();
        action.run();
        pausedMilliseconds += PAUSE_MILLISECONDS;
      }
      ClockReading reading = super.read();
      return new ClockReading(
          reading.steadyMilliseconds() + pausedMilliseconds,
          reading.wallClockMilliseconds() + pausedMilliseconds);
    }
  }

  private static ExchangeClient exchangesOf(EventLoopGroup loops) {
    return new ExchangeClient(loops, ExchangeLimits.builder().build(), ExchangeListener.NONE);
  }

  @BeforeEach
  void startPlatform() throws Exception {
    platform =
        PlatformServer.start(
            FleetSettings.withShortDurations(List.of(new FleetSettings.PoolSize("p", 1))),
            "127.0.0.1:0");
  }

  @AfterEach
  void close() {
    exchanges.close();
    successorExchanges.close();
    group.close();
    successorGroup.close();
    platform.close();
  }

  private StoreClient storeOf(ExchangeClient client) {
    return new StoreClient(client, NumericAddress.parse(platform.address()).orElseThrow());
  }

  private ScheduleWriter writer(Runnable fencedCallback) {
    return new ScheduleWriter(
        loop,
        clock,
        storeOf(exchanges),
        StoreTopic.SCHEDULE,
        1,
        clock.read(),
        new ScheduleWriter.Confirmation(VALIDITY_MILLISECONDS, () -> TERM_RECORD),
        fencedCallback);
  }

  private void appendTermOfSuccessor() {
    storeOf(successorExchanges)
        .append(
            StoreTopic.SCHEDULE,
            List.of(TERM_RECORD),
            Optional.of(new ProducerPosition(ScheduleWriter.PRODUCER, 2, 0)),
            OptionalLong.empty(),
            CALL_TIMEOUT_MILLISECONDS)
        .join();
  }

  private static <T> T resultOf(CompletableFuture<T> result) throws Exception {
    return result.get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Guards against TWICE: a leader is paused between an append and its response, a successor takes
   * over, and the leader then sends commands as if its term had just been confirmed.
   */
  @Test
  void responseThatIsReadAfterPauseAllowsNoCommands() throws Exception {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    loop.execute(
        () -> {
          ScheduleWriter writer = writer(() -> outcome.complete("fenced"));
          writer.appendBeforeCommands(List.of(RECORD), () -> outcome.complete("commands sent"));
          clock.pauseBeforeNextReading(this::appendTermOfSuccessor);
        });
    assertThat(resultOf(outcome), is("fenced"));
  }

  /** Without a successor the term is confirmed again, and the commands are sent. */
  @Test
  void pausedLeaderWithoutSuccessorSendsCommandsAfterConfirmation() throws Exception {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    loop.execute(
        () -> {
          ScheduleWriter writer = writer(() -> outcome.complete("fenced"));
          writer.appendBeforeCommands(List.of(RECORD), () -> outcome.complete("commands sent"));
          clock.pauseBeforeNextReading(() -> {});
        });
    assertThat(resultOf(outcome), is("commands sent"));
  }

  /** Guards against leases that are renewed for too long after a pause within an append. */
  @Test
  void ageOfConfirmationIncludesPauseBeforeResponse() throws Exception {
    CompletableFuture<Long> age = new CompletableFuture<>();
    loop.execute(
        () -> {
          ScheduleWriter writer = writer(() -> {});
          writer.append(
              List.of(RECORD), () -> age.complete(writer.millisecondsSinceConfirmation()));
          clock.pauseBeforeNextReading(() -> {});
        });
    assertThat(resultOf(age), greaterThanOrEqualTo(PAUSE_MILLISECONDS));
  }
}
