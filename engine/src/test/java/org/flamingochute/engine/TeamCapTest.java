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

/**
 * Guards against a team running more requests than its cap while entries fail, stop or pause,
 * frames are lost or duplicated, and the log fails. Each fault could lose a token or issue it
 * twice.
 */
class TeamCapTest {

  private static final int CAP = 6;

  static Stream<Named<Consumer<Cluster>>> faults() {
    return Stream.of(
        fault("no fault", cluster -> {}),
        fault("an entry is killed", TeamCapTest::killFirstEntry),
        fault("an entry is paused and resumed", TeamCapTest::pauseFirstEntry),
        fault("every third frame is lost", cluster -> cluster.network.loseEvery(3)),
        fault("every second frame is duplicated", cluster -> cluster.network.duplicateEvery(2)),
        fault("frames from one entry to another are lost", TeamCapTest::cutOneDirection),
        fault("the log is down", cluster -> cluster.log.setDown(true)),
        fault("the log is slow", cluster -> cluster.log.setLatencyMilliseconds(300)),
        fault("replies of the log are lost", cluster -> cluster.log.loseReplies(5)),
        fault("appends are stored twice", cluster -> cluster.log.duplicateAppends(5)),
        fault("responses are lost", TeamCapTest::loseResponses),
        fault("the cap is lowered and raised", TeamCapTest::changeCap),
        fault("an entry stops gracefully", cluster -> cluster.entry(0).node.stop()),
        fault(
            "killed and replaced while frames are lost", TeamCapTest::killFirstEntryAndLoseFrames));
  }

  private static Named<Consumer<Cluster>> fault(String name, Consumer<Cluster> fault) {
    return Named.of(name, fault);
  }

  private static void killFirstEntry(Cluster cluster) {
    cluster.kill(0);
    cluster.clock.schedule(Duration.ofMillis(300), () -> cluster.listAsGone("entry-1"));
  }

  private static void pauseFirstEntry(Cluster cluster) {
    cluster.entry(0).process.pause();
    cluster.clock.schedule(Duration.ofMillis(300), () -> cluster.listAsGone("entry-1"));
    cluster.clock.schedule(Duration.ofSeconds(45), () -> cluster.entry(0).process.resume());
  }

  private static void cutOneDirection(Cluster cluster) {
    cluster.network.cutLink("peer-entry-1", "peer-entry-2");
  }

  private static void loseResponses(Cluster cluster) {
    for (int i = 1; i <= 3; i++) {
      cluster.endpoints.setBehaviour("runner-" + i, Behaviour.LOSE_ANSWER);
    }
  }

  private static void changeCap(Cluster cluster) {
    cluster.patch(0, "team red cap 2");
    cluster.clock.schedule(Duration.ofSeconds(5), () -> cluster.patch(1, "team red cap 6"));
  }

  private static void killFirstEntryAndLoseFrames(Cluster cluster) {
    cluster.network.loseEvery(4);
    killFirstEntry(cluster);
    cluster.clock.schedule(Duration.ofSeconds(3), () -> cluster.addEntry("entry-1", "entry-1-b"));
  }

  @ParameterizedTest
  @MethodSource("faults")
  void runningRequestsStayWithinTheCap(Consumer<Cluster> fault) {
    Cluster cluster = Cluster.start(3);
    cluster.endpoints.setServiceMilliseconds(300);
    generateLoad(cluster, 20);
    fault.accept(cluster);
    generateLoad(cluster, 500);
    assertThat(cluster.endpoints.maximumRunning("red"), lessThanOrEqualTo(CAP));
    assertThat(cluster.endpoints.maximumRunning("red"), greaterThan(1));
  }

  private static void generateLoad(Cluster cluster, int rounds) {
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
  void loweredCapAppliesAfterRunningWorkEnds() {
    Cluster cluster = Cluster.start(3);
    cluster.patch(0, "team red cap 2");
    cluster.clock.advance(3_000);
    cluster.endpoints.setServiceMilliseconds(300);
    generateLoad(cluster, 50);
    assertThat(cluster.endpoints.maximumRunning("red"), is(2));
  }

  @Test
  void tokensOfLostEntryAreReallocated() {
    Cluster cluster = Cluster.start(3);
    cluster.kill(0);
    cluster.listAsGone("entry-1");
    cluster.clock.advance(45_000);
    cluster.endpoints.setServiceMilliseconds(400);
    List<CompletableFuture<CallerOutcome>> futures = new ArrayList<>();
    for (int i = 0; i < CAP; i++) {
      futures.add(cluster.send(1, Cluster.RED_KEY, "/red/" + i));
    }
    cluster.clock.advance(3_000);
    assertThat(cluster.endpoints.maximumRunning("red"), is(CAP));
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3, 5})
  void noTokenIsLostWithFrames(int loseEvery) {
    Cluster cluster = Cluster.start(3);
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
    assertThat(cluster.endpoints.maximumRunning("red"), is(CAP));
  }
}
