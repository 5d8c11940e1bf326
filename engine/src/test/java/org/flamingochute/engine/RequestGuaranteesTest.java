package org.flamingochute.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.identity.ServiceId;
import org.flamingochute.engine.fake.Cluster;
import org.flamingochute.engine.fake.FakeEndpoints;
import org.flamingochute.engine.fake.FakeEndpoints.Behaviour;
import org.flamingochute.schema.InstanceState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against wrong responses, wrong outcomes, and requests that are served with a missing or
 * revoked key or by an entry that is not fresh, with several entries on the fake platform.
 */
class RequestGuaranteesTest {

  private static final long COMPLETION_MILLISECONDS = 6_000;

  private static void setBehaviourOfAll(Cluster cluster, Behaviour behaviour) {
    for (int i = 1; i <= 3; i++) {
      cluster.endpoints.setBehaviour("runner-" + i, behaviour);
    }
  }

  private static CallerOutcome outcome(CompletableFuture<CallerOutcome> future) {
    assertThat("the request has completed", future.isDone(), is(true));
    return Cluster.result(future);
  }

  @Test
  void requestGetsItsOwnResponse() {
    Cluster cluster = Cluster.start(3);
    List<CompletableFuture<CallerOutcome>> futures = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      futures.add(cluster.send(i % 3, Cluster.RED_KEY, "/red/" + i));
    }
    cluster.clock.advance(COMPLETION_MILLISECONDS);
    for (int i = 0; i < 9; i++) {
      CallerOutcome.Answered answered = (CallerOutcome.Answered) outcome(futures.get(i));
      assertThat(new String(answered.body()), is("/red/" + i));
      assertThat(cluster.endpoints.executions("/red/" + i), is(1L));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "ANSWER, false, Answered, 1",
    "ANSWER, true, Answered, 1",
    "REFUSE, false, NotRun, 0",
    "REFUSE, true, NotRun, 0",
    "UNREACHABLE, false, NotRun, 0",
    "LOSE_ANSWER, false, Unknown, 1",
    "TOO_LATE, false, Unknown, 1",
  })
  void outcomeMatchesTheBehaviourOfEndpoints(
      Behaviour behaviour, boolean idempotent, String expected, long executions) {
    Cluster cluster = Cluster.start(3);
    setBehaviourOfAll(cluster, behaviour);
    CompletableFuture<CallerOutcome> future =
        cluster.send(0, Cluster.RED_KEY, "/red/x", idempotent, Optional.empty());
    cluster.clock.advance(COMPLETION_MILLISECONDS);
    assertThat(outcome(future).getClass().getSimpleName(), is(expected));
    assertThat(cluster.endpoints.executions("/red/x"), is(executions));
  }

  @Test
  void idempotentRequestIsRetriedAfterLostResponse() {
    Cluster cluster = Cluster.start(3);
    setBehaviourOfAll(cluster, Behaviour.LOSE_ANSWER);
    final CompletableFuture<CallerOutcome> future =
        cluster.send(0, Cluster.RED_KEY, "/red/x", true, Optional.empty());
    cluster.clock.advance(5);
    setBehaviourOfAll(cluster, Behaviour.ANSWER);
    cluster.clock.advance(COMPLETION_MILLISECONDS);
    assertThat(outcome(future), instanceOf(CallerOutcome.Answered.class));
  }

  @Test
  void retriedRequestThatIsThenRefusedIsUnknown() {
    Cluster cluster = Cluster.start(3);
    setBehaviourOfAll(cluster, Behaviour.LOSE_ANSWER);
    final CompletableFuture<CallerOutcome> future =
        cluster.send(0, Cluster.RED_KEY, "/red/x", true, Optional.empty());
    cluster.clock.advance(5);
    setBehaviourOfAll(cluster, Behaviour.REFUSE);
    cluster.clock.advance(COMPLETION_MILLISECONDS);
    assertThat(outcome(future), instanceOf(CallerOutcome.Unknown.class));
  }

  @ParameterizedTest
  @CsvSource({
    "quote, , KEY_MISSING",
    "quote, wrong-key, KEY_UNKNOWN",
    "nothing, red-secret, SERVICE_UNKNOWN",
  })
  void refusalBeforeDispatchReportsItsErrorCode(String service, String key, ErrorCode code) {
    Cluster cluster = Cluster.start(1);
    CallerRequest request =
        new CallerRequest(
            new ServiceId(service),
            Optional.ofNullable(key),
            "POST",
            "/red/x",
            List.of(),
            new byte[0],
            1_000,
            false,
            Optional.empty());
    CallerOutcome outcome = outcome(cluster.entry(0).node.request(request));
    assertThat(((CallerOutcome.NotRun) outcome).report().code(), is(code));
    assertThat(cluster.endpoints.executions(), is(empty()));
  }

  @Test
  void revokedKeyIsRefusedAtEveryEntry() {
    Cluster cluster = Cluster.start(3);
    cluster.patch(0, "key red-1");
    cluster.clock.advance(1_000);
    for (int i = 0; i < 3; i++) {
      CompletableFuture<CallerOutcome> future = cluster.send(i, Cluster.RED_KEY, "/red/x");
      cluster.clock.advance(100);
      assertThat(outcome(future), instanceOf(CallerOutcome.NotRun.class));
    }
    assertThat(cluster.endpoints.executions(), is(empty()));
  }

  @Test
  void waitingRequestIsNotRunAfterItsKeyIsRevoked() {
    Cluster cluster = Cluster.start(1);
    cluster.endpoints.setServiceMilliseconds(300);
    for (int i = 0; i < 6; i++) {
      cluster.send(0, Cluster.RED_KEY, "/red/fill");
    }
    CompletableFuture<CallerOutcome> waiting = cluster.send(0, Cluster.RED_KEY, "/red/late");
    cluster.patch(0, "key red-1");
    cluster.clock.advance(COMPLETION_MILLISECONDS);
    CallerOutcome.NotRun refused = (CallerOutcome.NotRun) outcome(waiting);
    assertThat(refused.report().code(), is(ErrorCode.KEY_UNKNOWN));
    assertThat(cluster.endpoints.executions("/red/late"), is(0L));
  }

  @Test
  void entryWithoutLogRefusesRevokedKeyAfterGossipOfLaterOffset() {
    Cluster cluster = Cluster.start(3);
    cluster.entry(2).log.setDisconnected(true);
    cluster.patch(0, "key red-1");
    cluster.clock.advance(2_000);
    CompletableFuture<CallerOutcome> future = cluster.send(2, Cluster.RED_KEY, "/red/x");
    cluster.clock.advance(COMPLETION_MILLISECONDS);
    assertThat(outcome(future), instanceOf(CallerOutcome.NotRun.class));
    assertThat(cluster.endpoints.executions(), is(empty()));
  }

  @ParameterizedTest
  @EnumSource(
      value = InstanceState.class,
      names = {"INSTANCE_LEAVING", "INSTANCE_GONE"})
  void leavingEndpointReceivesNoNewWork(InstanceState state) {
    Cluster cluster = Cluster.start(3);
    cluster.platform.setState("runner-1", state);
    cluster.clock.advance(2_000);
    for (int i = 0; i < 30; i++) {
      cluster.send(i % 3, Cluster.BLUE_KEY, "/blue/" + i);
      cluster.clock.advance(50);
    }
    for (FakeEndpoints.Execution execution : cluster.endpoints.executions()) {
      assertThat(execution.address().equals("runner-1"), is(false));
    }
    assertThat(cluster.endpoints.executions().size(), is(30));
  }

  @Test
  void entryServesDuringLogOutageWhilePeersAreReachable() {
    Cluster cluster = Cluster.start(3);
    cluster.log.setDown(true);
    cluster.clock.advance(10_000);
    CompletableFuture<CallerOutcome> future = cluster.send(1, Cluster.RED_KEY, "/red/x");
    cluster.clock.advance(COMPLETION_MILLISECONDS);
    assertThat(outcome(future), instanceOf(CallerOutcome.Answered.class));
  }

  @Test
  void entryWithoutLogAndPeersRefusesWithinTheFreshnessLimit() {
    Cluster cluster = Cluster.start(3);
    cluster.entry(0).log.setDisconnected(true);
    cluster.network.cutLink("peer-entry-2", "peer-entry-1");
    cluster.network.cutLink("peer-entry-3", "peer-entry-1");
    cluster.clock.advance(4_000);
    CallerOutcome outcome = outcome(cluster.send(0, Cluster.RED_KEY, "/red/x"));
    assertThat(((CallerOutcome.NotRun) outcome).report().code(), is(ErrorCode.ENTRY_NOT_FRESH));
  }

  @Test
  void resumedEntryStartsNothingBeforeItIsFresh() {
    Cluster cluster = Cluster.start(3);
    cluster.endpoints.setServiceMilliseconds(500);
    for (int i = 0; i < 4; i++) {
      cluster.send(0, Cluster.RED_KEY, "/red/fill");
    }
    cluster.clock.advance(10);
    cluster.entry(0).process.pause();
    cluster.patch(1, "key blue-1");
    cluster.clock.advance(10_000);
    cluster.entry(0).process.resume();
    CallerOutcome outcome = outcome(cluster.send(0, Cluster.BLUE_KEY, "/blue/x"));
    assertThat(outcome, instanceOf(CallerOutcome.NotRun.class));
    cluster.clock.advance(COMPLETION_MILLISECONDS);
    assertThat(cluster.endpoints.executions("/blue/x"), is(0L));
  }

  @Test
  void requestThatWaitedDuringPauseIsNotStartedOnResume() {
    Cluster cluster = Cluster.start(3);
    cluster.endpoints.setServiceMilliseconds(300);
    for (int i = 0; i < 6; i++) {
      cluster.send(0, Cluster.RED_KEY, "/red/fill");
    }
    cluster.clock.advance(250);
    final CompletableFuture<CallerOutcome> waiting =
        cluster.send(0, Cluster.RED_KEY, "/red/late", false, Optional.empty(), 20_000);
    cluster.entry(0).process.pause();
    cluster.patch(1, "key red-1");
    cluster.clock.advance(5_000);
    cluster.entry(0).process.resume();
    cluster.clock.advance(20_000);
    assertThat(outcome(waiting), instanceOf(CallerOutcome.NotRun.class));
    assertThat(cluster.endpoints.executions("/red/late"), is(0L));
  }

  @Test
  void resumedEntryThatWasRemovedRefusesWork() {
    Cluster cluster = Cluster.start(3);
    cluster.entry(0).process.pause();
    cluster.listAsGone("entry-1");
    cluster.clock.advance(5_000);
    cluster.entry(0).process.resume();
    cluster.clock.advance(10_000);
    CallerOutcome outcome = outcome(cluster.send(0, Cluster.RED_KEY, "/red/x"));
    assertThat(((CallerOutcome.NotRun) outcome).report().code(), is(ErrorCode.NOT_A_MEMBER));
  }

  @Test
  void queueIsBoundedAndShedRequestsAreNotRun() {
    Cluster cluster = Cluster.start(1);
    cluster.endpoints.setServiceMilliseconds(1_900);
    List<CompletableFuture<CallerOutcome>> futures = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      futures.add(cluster.send(0, Cluster.RED_KEY, "/red/" + i));
    }
    cluster.clock.advance(COMPLETION_MILLISECONDS);
    long answered = 0;
    for (int i = 0; i < 400; i++) {
      CallerOutcome outcome = outcome(futures.get(i));
      if (outcome instanceof CallerOutcome.NotRun) {
        assertThat(cluster.endpoints.executions("/red/" + i), is(0L));
      } else {
        answered++;
      }
    }
    assertThat(answered, equalTo((long) cluster.endpoints.executions().size()));
    assertThat(cluster.endpoints.maximumRunning("red"), lessThanOrEqualTo(6));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void tokensAreTransferredToLoadedEntry(int loadedEntry) {
    Cluster cluster = Cluster.start(3);
    cluster.endpoints.setServiceMilliseconds(400);
    List<CompletableFuture<CallerOutcome>> futures = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      futures.add(cluster.send(loadedEntry - 1, Cluster.RED_KEY, "/red/" + i));
    }
    cluster.clock.advance(350);
    assertThat(cluster.endpoints.maximumRunning("red"), is(6));
    cluster.clock.advance(COMPLETION_MILLISECONDS);
    for (CompletableFuture<CallerOutcome> future : futures) {
      assertThat(outcome(future), instanceOf(CallerOutcome.Answered.class));
    }
  }
}
