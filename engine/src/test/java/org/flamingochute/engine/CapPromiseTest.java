package org.flamingochute.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.flamingochute.engine.fake.Cluster;
import org.flamingochute.engine.fake.FakeEndpoints.Behaviour;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** No team has more running than its cap, whatever happens to entries, frames and the log. */
class CapPromiseTest {

  private static final int CAP = 6;

  static Stream<Named<Consumer<Cluster>>> faults() {
    return Stream.of(
        fault("no fault", cluster -> {}),
        fault("an entry is killed", CapPromiseTest::killFirst),
        fault("an entry is frozen and thawed", CapPromiseTest::freezeFirst),
        fault("every third frame is lost", cluster -> cluster.network.loseEvery(3)),
        fault("every second frame comes twice", cluster -> cluster.network.repeatEvery(2)),
        fault("one way between two entries is cut", CapPromiseTest::cutOneWay),
        fault("the log is down", cluster -> cluster.log.setDown(true)),
        fault("the log is slow", cluster -> cluster.log.setLatencyMilliseconds(300)),
        fault("replies of the log are lost", cluster -> cluster.log.loseReplies(5)),
        fault("appends are stored twice", cluster -> cluster.log.repeatAppends(5)),
        fault("answers are lost", CapPromiseTest::loseAnswers),
        fault("the cap is lowered and raised", CapPromiseTest::changeCap),
        fault("an entry stops gracefully", cluster -> cluster.entry(0).node.stop()),
        fault("killed and replaced while frames are lost", CapPromiseTest::killWithLoss));
  }

  private static Named<Consumer<Cluster>> fault(String name, Consumer<Cluster> fault) {
    return Named.of(name, fault);
  }

  private static void killFirst(Cluster cluster) {
    cluster.kill(0);
    cluster.clock.schedule(Duration.ofMillis(300), () -> cluster.listGone("entry-1"));
  }

  private static void freezeFirst(Cluster cluster) {
    cluster.entry(0).process.freeze();
    cluster.clock.schedule(Duration.ofMillis(300), () -> cluster.listGone("entry-1"));
    cluster.clock.schedule(Duration.ofSeconds(45), () -> cluster.entry(0).process.thaw());
  }

  private static void cutOneWay(Cluster cluster) {
    cluster.network.cut("peer-entry-1", "peer-entry-2");
  }

  private static void loseAnswers(Cluster cluster) {
    for (int i = 1; i <= 3; i++) {
      cluster.endpoints.behave("runner-" + i, Behaviour.LOSE_ANSWER);
    }
  }

  private static void changeCap(Cluster cluster) {
    cluster.patch(0, "team red cap 2");
    cluster.clock.schedule(Duration.ofSeconds(5), () -> cluster.patch(1, "team red cap 6"));
  }

  private static void killWithLoss(Cluster cluster) {
    cluster.network.loseEvery(4);
    killFirst(cluster);
    cluster.clock.schedule(Duration.ofSeconds(3), () -> cluster.addEntry("entry-1", "entry-1-b"));
  }

  @ParameterizedTest
  @MethodSource("faults")
  void capHolds(Consumer<Cluster> fault) {
    Cluster cluster = Cluster.started(3);
    cluster.endpoints.setServiceMilliseconds(300);
    load(cluster, 20);
    fault.accept(cluster);
    load(cluster, 500);
    assertThat(cluster.endpoints.mostRunning("red"), lessThanOrEqualTo(CAP));
    assertThat(cluster.endpoints.mostRunning("red"), greaterThan(1));
  }

  private static void load(Cluster cluster, int rounds) {
    for (int i = 0; i < rounds; i++) {
      for (int entry = 0; entry < cluster.entries.size(); entry++) {
        if (!cluster.entry(entry).process.isDead()) {
          cluster.send(entry, Cluster.RED_KEY, "/red/x");
        }
      }
      cluster.clock.advance(110);
    }
  }

  @Test
  void loweredCapIsInForceAfterTheWorkThatRanEnded() {
    Cluster cluster = Cluster.started(3);
    cluster.patch(0, "team red cap 2");
    cluster.clock.advance(3_000);
    cluster.endpoints.setServiceMilliseconds(300);
    load(cluster, 50);
    assertThat(cluster.endpoints.mostRunning("red"), is(2));
  }

  @Test
  void tokensOfLostEntryComeBack() {
    Cluster cluster = Cluster.started(3);
    cluster.kill(0);
    cluster.listGone("entry-1");
    cluster.clock.advance(45_000);
    cluster.endpoints.setServiceMilliseconds(400);
    List<CompletableFuture<CallerOutcome>> futures = new ArrayList<>();
    for (int i = 0; i < CAP; i++) {
      futures.add(cluster.send(1, Cluster.RED_KEY, "/red/" + i));
    }
    cluster.clock.advance(3_000);
    assertThat(cluster.endpoints.mostRunning("red"), is(CAP));
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3, 5})
  void noTokenIsStrandedByLostFrames(int loseEvery) {
    Cluster cluster = Cluster.started(3);
    cluster.network.loseEvery(loseEvery);
    cluster.endpoints.setServiceMilliseconds(100);
    for (int i = 0; i < 300; i++) {
      int entry = i / 50 % 3;
      cluster.send(entry, Cluster.RED_KEY, "/red/x");
      cluster.clock.advance(20);
    }
    cluster.network.loseEvery(0);
    cluster.clock.advance(3_000);
    cluster.endpoints.setServiceMilliseconds(700);
    for (int i = 0; i < CAP; i++) {
      cluster.send(2, Cluster.RED_KEY, "/red/y");
    }
    cluster.clock.advance(650);
    assertThat(cluster.endpoints.mostRunning("red"), is(CAP));
  }
}
