package org.flamingochute.testsuite.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.load.DemoSummary;
import org.flamingochute.testsuite.knownred.KnownRedExtension;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Injects faults into real processes under load. The reports of callers, runners and workers are
 * compared call by call: no response may be mixed up, no work may be lost, duplicated or wrongly
 * reported as not run, and no cap may be exceeded. More than half of the requests must be answered.
 *
 * <p>Entries refuse requests that cannot be answered before their deadline, or for which the queue
 * is full. Since requests arrive independently of the responses, a machine that is busy otherwise
 * may be too slow for their rate with any version of the entries. So a run in which too few are
 * answered is compared with one without a fault at the same rate: if that one is no better, the
 * fault is injected again at half the rate.
 */
@ExtendWith(KnownRedExtension.class)
final class ProcessFaultTest {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long WARM_UP_MILLISECONDS = 2_500;

  /** Longer than the freshness limit, the placer's lease and the deadline of a request. */
  private static final long OUTAGE_MILLISECONDS = 6_000;

  /** Highest divisor of the rates, with which about 20 requests arrive per second. */
  private static final int MAXIMUM_RATE_DIVISOR = 8;

  private static final String OPERATOR = "demo";
  private static final String OPERATOR_KEY = "demo-operator-key";

  /** A fault that is injected while the callers are active. */
  private interface Fault {
    void inject(ProcessCluster cluster) throws Exception;
  }

  static List<Named<Fault>> faults() {
    return List.of(
        Named.of("entry killed", ProcessFaultTest::killEntry),
        Named.of("entry frozen past its lease and thawed", ProcessFaultTest::freezeEntry),
        Named.of("log down longer than every limit", ProcessFaultTest::makeLogUnavailable),
        Named.of("entry stopped gracefully", ProcessFaultTest::stopEntry),
        Named.of("two operators race", ProcessFaultTest::patchConcurrently));
  }

  private static void killEntry(ProcessCluster cluster) throws Exception {
    cluster.sendSignal(ProcessCluster.entryName(1), "KILL");
    cluster.post("/instances/state", "{\"instance\":\"entry-1\",\"state\":\"INSTANCE_GONE\"}");
  }

  private static void freezeEntry(ProcessCluster cluster) throws Exception {
    cluster.sendSignal(ProcessCluster.entryName(1), "STOP");
    Thread.sleep(OUTAGE_MILLISECONDS);
    cluster.sendSignal(ProcessCluster.entryName(1), "CONT");
  }

  private static void makeLogUnavailable(ProcessCluster cluster) throws Exception {
    cluster.post("/faults", "{\"logDown\":true}");
    Thread.sleep(OUTAGE_MILLISECONDS);
    cluster.post("/faults", "{}");
  }

  private static void stopEntry(ProcessCluster cluster) throws Exception {
    cluster.sendSignal(ProcessCluster.entryName(1), "TERM");
    assertThat("exit code of the stop", cluster.awaitExit(ProcessCluster.entryName(1), 60), is(0));
  }

  private static void patchConcurrently(ProcessCluster cluster) throws Exception {
    CompletableFuture<Integer> first =
        CompletableFuture.supplyAsync(() -> grantToCaptains(cluster));
    CompletableFuture<Integer> second =
        CompletableFuture.supplyAsync(() -> grantToRosario(cluster));
    boolean isAnyAccepted = first.join() == 0 || second.join() == 0;
    assertThat("one of the racing patches is accepted", isAnyAccepted, is(true));
  }

  private static int grantToCaptains(ProcessCluster cluster) {
    return cluster.runControlCommand(OPERATOR_KEY, OPERATOR, List.of("grant", "captains"));
  }

  private static int grantToRosario(ProcessCluster cluster) {
    return cluster.runControlCommand(OPERATOR_KEY, OPERATOR, List.of("grant", "rosario"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void keepsAllPromises(Fault fault, @TempDir Path folder) throws Exception {
    DemoSummary.Result result = runWith(fault, 1, folder);
    int rateDivisor = 1;
    while (!areMostAnswered(result) && rateDivisor < MAXIMUM_RATE_DIVISOR) {
      DemoSummary.Result faultless = runWith(cluster -> {}, rateDivisor, folder);
      String summaries = result.summaryLine() + ", without the fault " + faultless.summaryLine();
      assertThat(summaries, areMostAnswered(faultless), is(false));
      logger.atInfo().log("the machine is too slow for this rate: %s", summaries);
      rateDivisor *= 2;
      result = runWith(fault, rateDivisor, folder);
    }
    assertThat("answered", result.answered() * 2, greaterThan(result.requests()));
  }

  private static boolean areMostAnswered(DemoSummary.Result result) {
    return result.answered() * 2 > result.requests();
  }

  /** Injects a fault into a new cluster, and requires that no work is lost or wrongly reported. */
  private static DemoSummary.Result runWith(Fault fault, int rateDivisor, Path folder)
      throws Exception {
    try (ProcessCluster cluster = new ProcessCluster(Files.createTempDirectory(folder, "run"))) {
      cluster.startCallers(rateDivisor);
      Thread.sleep(WARM_UP_MILLISECONDS);
      fault.inject(cluster);
      DemoSummary.Result result = cluster.compareReports();
      assertThat(result.findings(), empty());
      return result;
    }
  }
}
