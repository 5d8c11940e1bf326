package org.flamingochute.testsuite.node;

import static org.flamingochute.testsuite.node.NodeCluster.KEY;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.flamingochute.platform.standin.FleetSettings;
import org.flamingochute.platform.standin.WorkPayload;
import org.flamingochute.testsuite.knownred.KnownRedExtension;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against TWICE: a start is executed late, while its task was placed on another worker. */
@ExtendWith(KnownRedExtension.class)
final class HeldBackStartProcessTest {
  private static final int MAXIMUM_JOBS = 40;
  private static final int MAXIMUM_POLLS = 1_000;
  private static final long POLL_INTERVAL_MILLISECONDS = 20;
  private static final WorkPayload LONG_RUN = new WorkPayload(3_000, 500, "clubs", 0, false);
  private static final WorkPayload SHORT_RUN = new WorkPayload(50, 500, "clubs", 0, false);

  static Stream<Arguments> heldBackStarts() {
    return Stream.of(
        arguments(
            "the worker refuses connections",
            new HeldBackStart(1_000, OptionalLong.empty(), 1_500),
            LONG_RUN),
        arguments(
            "the worker starts again while it refuses connections",
            new HeldBackStart(1_000, OptionalLong.of(500), 1_500),
            LONG_RUN),
        arguments(
            "the worker starts again later",
            new HeldBackStart(0, OptionalLong.of(1_200), 1_700),
            LONG_RUN),
        arguments(
            "the worker starts again after a run has succeeded",
            new HeldBackStart(0, OptionalLong.of(1_200), 1_700),
            SHORT_RUN));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("heldBackStarts")
  void heldBackStartNeverRunsBesideOrAfterAnotherRun(
      String name, HeldBackStart start, WorkPayload payload, @TempDir Path folder)
      throws Exception {
    AtomicReference<HeldBackStart> next = new AtomicReference<>();
    RunHistory history = new RunHistory();
    List<FleetSettings.PoolSize> machines = List.of(new FleetSettings.PoolSize("reserve", 1));
    try (NodeCluster cluster = new NodeCluster(folder, 1, machines);
        ScriptedWorker first = new ScriptedWorker("i-first", cluster, history, next);
        ScriptedWorker second = new ScriptedWorker("i-second", cluster, history, next)) {
      String warmUp = jobOf(0);
      cluster.submitUntilAccepted(0, KEY, warmUp, SHORT_RUN, 4);
      cluster.waitForState(0, warmUp, "completed");
      next.set(start);
      String job = submitUntilHeldBack(cluster, payload, next, history);
      waitFor(ScriptedWorker.RELEASED, history);
      cluster.waitForState(0, job, "completed");
      String evidence = name + "\n" + history + "\n" + cluster.readLog(0);
      assertThat(evidence, history.violations(), empty());
    }
  }

  private static String jobOf(int number) {
    return "%016x".formatted(0xa000 + number);
  }

  /** Submits jobs until the start of one is held back, and returns that one. */
  private static String submitUntilHeldBack(
      NodeCluster cluster,
      WorkPayload payload,
      AtomicReference<HeldBackStart> next,
      RunHistory history)
      throws Exception {
    for (int i = 1; i <= MAXIMUM_JOBS; i++) {
      cluster.submitUntilAccepted(0, KEY, jobOf(i), payload, 1);
      waitFor(jobOf(i), history);
      if (next.get() == null) {
        return jobOf(i);
      }
      cluster.call(0, KEY, "DELETE", jobOf(i));
    }
    throw new IllegalStateException("no start was held back: " + history);
  }

  private static void waitFor(String event, RunHistory history) throws InterruptedException {
    for (int i = 0; i < MAXIMUM_POLLS; i++) {
      if (history.contains(event)) {
        return;
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    throw new IllegalStateException("not seen: " + event + "\n" + history);
  }
}
