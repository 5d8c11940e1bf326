package org.flamingochute.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.flamingochute.engine.fake.Cluster;
import org.flamingochute.engine.fake.FakeEndpoints.Behaviour;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a request with an idempotency key running twice, or its stored response not being
 * returned, when it is repeated at another entry, after the loss of an entry, or under faults of
 * the log.
 */
class IdempotencyClaimTest {

  private static final String PATH = "/red/order";

  private static CompletableFuture<CallerOutcome> sendOrder(Cluster cluster, int entry) {
    return cluster.send(entry, Cluster.RED_KEY, PATH, false, Optional.of("order-1"));
  }

  @Test
  void concurrentRequestsWithOneKeyRunOnceAndBothGetTheResponse() {
    Cluster cluster = Cluster.start(3);
    CompletableFuture<CallerOutcome> first = sendOrder(cluster, 0);
    CompletableFuture<CallerOutcome> second = sendOrder(cluster, 1);
    cluster.clock.advance(3_000);
    assertThat(Cluster.result(first), instanceOf(CallerOutcome.Answered.class));
    assertThat(Cluster.result(second), instanceOf(CallerOutcome.Answered.class));
    assertThat(cluster.endpoints.executions(PATH), is(1L));
  }

  @Test
  void laterRepetitionGetsTheStoredResponse() {
    Cluster cluster = Cluster.start(3);
    sendOrder(cluster, 0);
    cluster.clock.advance(3_000);
    CompletableFuture<CallerOutcome> repetition = sendOrder(cluster, 2);
    cluster.clock.advance(3_000);
    CallerOutcome.Answered answered = (CallerOutcome.Answered) Cluster.result(repetition);
    assertThat(new String(answered.body()), is(PATH));
    assertThat(cluster.endpoints.executions(PATH), is(1L));
  }

  @Test
  void otherRequestUnderTheSameKeyIsNotRun() {
    Cluster cluster = Cluster.start(2);
    sendOrder(cluster, 0);
    cluster.clock.advance(1_000);
    CompletableFuture<CallerOutcome> other =
        cluster.send(1, Cluster.RED_KEY, "/red/other", false, Optional.of("order-1"));
    cluster.clock.advance(3_000);
    assertThat(Cluster.result(other), instanceOf(CallerOutcome.NotRun.class));
    assertThat(cluster.endpoints.executions("/red/other"), is(0L));
  }

  @Test
  void keyOfRequestThatWasNotRunMayBeUsedAgain() {
    Cluster cluster = Cluster.start(2);
    for (int i = 1; i <= 3; i++) {
      cluster.endpoints.setBehaviour("runner-" + i, Behaviour.REFUSE);
    }
    CompletableFuture<CallerOutcome> first = sendOrder(cluster, 0);
    cluster.clock.advance(3_000);
    assertThat(Cluster.result(first), instanceOf(CallerOutcome.NotRun.class));
    for (int i = 1; i <= 3; i++) {
      cluster.endpoints.setBehaviour("runner-" + i, Behaviour.ANSWER);
    }
    CompletableFuture<CallerOutcome> second = sendOrder(cluster, 1);
    cluster.clock.advance(3_000);
    assertThat(Cluster.result(second), instanceOf(CallerOutcome.Answered.class));
  }

  @Test
  void claimOfLostEntryIsUnknown() {
    Cluster cluster = Cluster.start(3);
    cluster.endpoints.setServiceMilliseconds(1_000);
    sendOrder(cluster, 0);
    cluster.clock.advance(300);
    cluster.kill(0);
    cluster.listAsGone("entry-1");
    cluster.clock.advance(4_000);
    CompletableFuture<CallerOutcome> repetition = sendOrder(cluster, 1);
    cluster.clock.advance(3_000);
    assertThat(Cluster.result(repetition), instanceOf(CallerOutcome.Unknown.class));
    assertThat(cluster.endpoints.executions(PATH), is(1L));
  }

  static Stream<Named<Consumer<Cluster>>> faults() {
    return Stream.of(
        Named.of("the log is down", cluster -> cluster.log.setDown(true)),
        Named.of("the log is slow", cluster -> cluster.log.setLatencyMilliseconds(1_200)),
        Named.of("replies are lost", cluster -> cluster.log.loseReplies(2)),
        Named.of("appends are stored twice", cluster -> cluster.log.duplicateAppends(3)),
        Named.of(
            "the first entry is disconnected from the log",
            cluster -> cluster.entry(0).log.setDisconnected(true)));
  }

  @ParameterizedTest
  @MethodSource("faults")
  void refusedRequestDidNotRunAndKeyRunsAtMostOnce(Consumer<Cluster> fault) {
    Cluster cluster = Cluster.start(3);
    fault.accept(cluster);
    CompletableFuture<CallerOutcome> first = sendOrder(cluster, 0);
    cluster.clock.advance(2_500);
    final long executionsDuringFault = cluster.endpoints.executions(PATH);
    if (Cluster.result(first) instanceof CallerOutcome.NotRun) {
      assertThat(executionsDuringFault, is(0L));
    }
    cluster.log.setDown(false);
    cluster.log.setLatencyMilliseconds(1);
    cluster.entry(0).log.setDisconnected(false);
    cluster.clock.advance(10_000);
    if (Cluster.result(first) instanceof CallerOutcome.NotRun) {
      assertThat(cluster.endpoints.executions(PATH), is(0L));
    }
    CompletableFuture<CallerOutcome> second = sendOrder(cluster, 1);
    cluster.clock.advance(5_000);
    assertThat(Cluster.result(second), instanceOf(CallerOutcome.Answered.class));
    assertThat(cluster.endpoints.executions(PATH), lessThanOrEqualTo(1L));
  }
}
