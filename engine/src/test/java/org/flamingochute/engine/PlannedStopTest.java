package org.flamingochute.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.WaveId;
import org.flamingochute.engine.fake.Cluster;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.PoolAction;
import org.flamingochute.schema.PoolOperation;
import org.flamingochute.schema.WaveImage;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against planned stops of runners and entries that interrupt work in flight or violate an
 * availability budget, with and without faults of entries, frames and the log.
 */
class PlannedStopTest {

  private static final PoolId PROOFS = new PoolId("proofs");

  private static int countAvailable(Cluster cluster, int entry) {
    int count = 0;
    Collection<InstanceImage> instances = cluster.entry(entry).node.agreed().instances(PROOFS);
    for (InstanceImage instance : instances) {
      boolean live = instance.getObserved().getState() == InstanceState.INSTANCE_LIVE;
      if (live && !instance.hasStop()) {
        count++;
      }
    }
    return count;
  }

  private static Set<String> instancesWithOperation(Cluster cluster, PoolAction action) {
    Set<String> instances = new HashSet<>();
    for (PoolOperation operation : cluster.platform.operations()) {
      if (operation.getAction() == action) {
        instances.add(operation.getInstance());
      }
    }
    return instances;
  }

  static Stream<Named<Consumer<Cluster>>> faults() {
    return Stream.of(
        Named.of("no fault", cluster -> {}),
        Named.of("an entry is killed", PlannedStopTest::killFirstEntry),
        Named.of("replies of the log are lost", cluster -> cluster.log.loseReplies(10)),
        Named.of("the log is slow", cluster -> cluster.log.setLatencyMilliseconds(200)),
        Named.of("frames are lost", cluster -> cluster.network.loseEvery(3)));
  }

  private static void killFirstEntry(Cluster cluster) {
    cluster.kill(0);
    cluster.listAsGone("entry-1");
  }

  @ParameterizedTest
  @MethodSource("faults")
  void waveRebootsEveryRunnerWithinTheBudgetAndInterruptsNoRequest(Consumer<Cluster> fault) {
    Cluster cluster = Cluster.start(3);
    cluster.endpoints.setServiceMilliseconds(200);
    cluster.patch(1, "wave may pools proofs", "wave may action reboot");
    cluster.clock.advance(1_000);
    fault.accept(cluster);
    List<CompletableFuture<CallerOutcome>> futures = new ArrayList<>();
    int minimumAvailable = 3;
    for (int i = 0; i < 900; i++) {
      futures.add(cluster.send(1 + i % 2, Cluster.BLUE_KEY, "/blue/" + i));
      cluster.clock.advance(100);
      minimumAvailable = Math.min(minimumAvailable, countAvailable(cluster, 1));
    }
    cluster.clock.advance(5_000);
    assertThat(minimumAvailable, greaterThanOrEqualTo(2));
    assertThat(instancesWithOperation(cluster, PoolAction.POOL_REBOOT).size(), is(3));
    Optional<WaveImage> wave = cluster.entry(1).node.agreed().wave(new WaveId("may"));
    assertThat(wave.get().getFinishedInstancesCount(), is(3));
    for (CompletableFuture<CallerOutcome> future : futures) {
      assertThat(Cluster.result(future), not(instanceOf(CallerOutcome.Unknown.class)));
    }
  }

  @Test
  void runnerWithWorkInFlightIsNotDrained() {
    Cluster cluster = Cluster.start(2);
    cluster.endpoints.setServiceMilliseconds(6_000);
    List<Integer> runningAtOperations = new ArrayList<>();
    cluster.platform.addOperationListener(
        operation -> runningAtOperations.add(cluster.endpoints.runningAt(operation.getInstance())));
    for (int i = 0; i < 6; i++) {
      cluster.send(i % 2, Cluster.RED_KEY, "/red/x", false, Optional.empty(), 20_000);
    }
    cluster.clock.advance(300);
    cluster.patch(0, "wave may pools proofs");
    cluster.clock.advance(60_000);
    assertThat(instancesWithOperation(cluster, PoolAction.POOL_REBOOT).size(), is(3));
    assertThat(runningAtOperations, everyItem(is(0)));
  }

  @Test
  void pausedWaveRequestsNoStop() {
    Cluster cluster = Cluster.start(2);
    cluster.patch(0, "wave may pools proofs", "wave may paused true");
    cluster.clock.advance(10_000);
    for (Cluster.Entry entry : cluster.entries) {
      assertThat(entry.metrics.counter("stops.requested").getCount(), is(0L));
    }
  }

  @Test
  void waveStopsAfterRepeatedFailures() {
    Cluster cluster = Cluster.start(2);
    for (int i = 1; i <= 3; i++) {
      cluster.platform.failOperations("runner-" + i);
    }
    cluster.patch(0, "wave may pools proofs");
    cluster.clock.advance(60_000);
    WaveImage wave = cluster.entry(0).node.agreed().wave(new WaveId("may")).get();
    assertThat(wave.getStopped(), is(true));
    assertThat(countAvailable(cluster, 0), is(3));
  }

  @Test
  void reducedSizeRetiresOnlyTheSurplus() {
    Cluster cluster = Cluster.start(2);
    cluster.patch(0, "pool proofs size 2");
    cluster.clock.advance(30_000);
    assertThat(instancesWithOperation(cluster, PoolAction.POOL_RETIRE).size(), is(1));
    assertThat(cluster.entry(1).node.agreed().instances(PROOFS).size(), is(2));
  }

  @Test
  void pinnedInstanceMovesOnce() {
    Cluster cluster = Cluster.start(2, "pool quotes kind runner", "pool quotes size 0");
    cluster.patch(0, "instance runner-3 pool quotes");
    cluster.clock.advance(30_000);
    InstanceImage moved = cluster.entry(1).node.agreed().instance(new InstanceId("runner-3")).get();
    assertThat(moved.getPool(), is("quotes"));
    assertThat(moved.hasStop(), is(false));
    assertThat(instancesWithOperation(cluster, PoolAction.POOL_RETURN), is(Set.of("runner-3")));
  }

  @Test
  void stoppingEntryFinishesItsWorkAndTransfersItsTokens() {
    Cluster cluster = Cluster.start(3);
    cluster.endpoints.setServiceMilliseconds(1_000);
    List<CompletableFuture<CallerOutcome>> futures = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      futures.add(cluster.send(0, Cluster.RED_KEY, "/red/" + i));
    }
    cluster.clock.advance(400);
    final CompletableFuture<Void> stopped = cluster.entry(0).node.stop();
    assertThat(cluster.entry(0).node.isReady(), is(false));
    CallerOutcome refused = Cluster.result(cluster.send(0, Cluster.RED_KEY, "/red/new"));
    assertThat(refused, instanceOf(CallerOutcome.NotRun.class));
    cluster.clock.advance(5_000);
    assertThat(stopped.isDone(), is(true));
    for (CompletableFuture<CallerOutcome> future : futures) {
      assertThat(Cluster.result(future), instanceOf(CallerOutcome.Answered.class));
    }
    cluster.clock.advance(2_000);
    for (int i = 0; i < 6; i++) {
      cluster.send(1, Cluster.RED_KEY, "/red/after");
    }
    cluster.clock.advance(900);
    assertThat(cluster.endpoints.maximumRunning("red"), is(6));
    assertThat(cluster.entry(0).metrics.counter("tokens.sent").getCount(), greaterThan(0L));
  }

  @Test
  void lastEntryFinishesItsWorkBeforeItLeaves() {
    Cluster cluster = Cluster.start(1);
    cluster.endpoints.setServiceMilliseconds(1_500);
    final CompletableFuture<CallerOutcome> future = cluster.send(0, Cluster.RED_KEY, "/red/x");
    cluster.clock.advance(100);
    CompletableFuture<Void> stopped = cluster.entry(0).node.stop();
    cluster.clock.advance(1_000);
    assertThat(stopped.isDone(), is(false));
    cluster.clock.advance(2_000);
    assertThat(stopped.isDone(), is(true));
    assertThat(Cluster.result(future), instanceOf(CallerOutcome.Answered.class));
  }

  @Test
  void lastEntryLeavesTheMembers() {
    Cluster cluster = Cluster.start(1);
    CompletableFuture<Void> stopped = cluster.entry(0).node.stop();
    cluster.clock.advance(2_000);
    assertThat(stopped.isDone(), is(true));
    assertThat(cluster.entry(0).node.agreed().members(), is(empty()));
  }
}
