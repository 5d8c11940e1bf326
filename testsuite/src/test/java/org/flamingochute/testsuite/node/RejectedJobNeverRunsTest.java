package org.flamingochute.testsuite.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.flamingochute.platform.standin.WorkPayload;
import org.flamingochute.testsuite.node.StoreGateway.Outage;
import org.flamingochute.testsuite.node.StoreGateway.Withheld;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the promise of status 503 while the store fails with many appends of several nodes in
 * flight.
 */
final class RejectedJobNeverRunsTest {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int NODE_COUNT = 3;
  private static final int JOB_COUNT = 45;
  private static final int FIRST_JOB = 0xd000;
  private static final int EARLIER_JOB_COUNT = 30;
  private static final int FIRST_EARLIER_JOB = 0xc000;
  private static final String LATER_JOB = "00000000000000e1";
  private static final long BATCHING_MILLISECONDS = 150;
  private static final long POLL_INTERVAL_MILLISECONDS = 10;

  /** Much less than the 800 ms after which a node repeats an append without a response. */
  private static final long OTHER_NODES_MILLISECONDS = 50;

  /** Number of polls, which take 20 s, after which a condition of the test has not arisen. */
  private static final int MAXIMUM_POLLS = 2_000;

  private static final Pattern JOB_KEY = Pattern.compile("\"job/([0-9a-f]{16})\"");

  private static final WorkPayload PAYLOAD = new WorkPayload(10, 100, "clubs", 0, false);

  @TempDir private Path folder;

  /**
   * Guards against a node that answers 503 to the callers of a whole batch of jobs, because its
   * retry of the append was refused, while the copy that got no response was executed.
   */
  @ParameterizedTest
  @CsvSource({
    "RESPONSES,CONNECTION_REFUSED",
    "RESPONSES,UNAVAILABLE",
    "REQUESTS,CONNECTION_REFUSED",
    "REQUESTS,UNAVAILABLE"
  })
  void rejectedJobNeverRunsAfterStoreFailsDuringAppends(Withheld withheld, Outage outage)
      throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT);
        RejectedJobs callers = new RejectedJobs(cluster, NODE_COUNT)) {
      cluster.waitForLeader(-1);
      openConnections(cluster);
      StoreGateway gateway = cluster.gateway();
      gateway.withhold(Withheld.RESPONSES);
      callers.submit(FIRST_JOB, NODE_COUNT);
      awaitAppendOfEachNode(gateway);
      callers.submit(FIRST_JOB + NODE_COUNT, JOB_COUNT - 2 * NODE_COUNT);
      // Meanwhile the other jobs gather behind the first append of each node.
      Thread.sleep(BATCHING_MILLISECONDS);
      gateway.withhold(withheld);
      // A node that waited for longer than its timeout has appended the other jobs already.
      callers.submit(FIRST_JOB + JOB_COUNT - NODE_COUNT, NODE_COUNT);
      Set<String> unanswered = disconnectDuringFirstAppends(gateway, outage);
      callers.await();
      gateway.reconnect();
      awaitStored(cluster, unanswered);
      List<String> stored = awaitStoredJobsCompleted(cluster);
      assertNoRejectedJobRan(cluster, callers, stored);
    }
  }

  /** Has every node append jobs, so that the later appends use connections that are open. */
  private static void openConnections(NodeCluster cluster) throws Exception {
    for (int i = 0; i < EARLIER_JOB_COUNT; i++) {
      String job = "%016x".formatted(FIRST_EARLIER_JOB + i);
      cluster.submitUntilAccepted(i % NODE_COUNT, NodeCluster.KEY, job, PAYLOAD, 1);
    }
  }

  /** Waits until an append of each node is under way that gets no response. */
  private static void awaitAppendOfEachNode(StoreGateway gateway) throws Exception {
    for (int i = 0; i < MAXIMUM_POLLS; i++) {
      long nodes =
          gateway.withheldJobs().stream()
              .mapToInt(RejectedJobNeverRunsTest::firstNodeOf)
              .distinct()
              .count();
      if (nodes == NODE_COUNT) {
        return;
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    throw new IllegalStateException("not every node appends jobs: " + gateway.withheldJobs());
  }

  /**
   * Breaks the connections while the first append of a job is under way and gets no response, and
   * after a short wait for those of the other nodes; returns the jobs in them. A node that repeats
   * an append on its own, after its timeout, knows that its result is unknown, so the fault would
   * not show.
   */
  private static Set<String> disconnectDuringFirstAppends(StoreGateway gateway, Outage outage)
      throws Exception {
    for (int i = 0; i < MAXIMUM_POLLS && gateway.withheldJobs().isEmpty(); i++) {
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    Thread.sleep(OTHER_NODES_MILLISECONDS);
    Set<String> jobs = gateway.withheldJobs();
    gateway.disconnect(outage);
    assertThat("jobs that are appended first", jobs, is(not(empty())));
    return jobs;
  }

  /** Returns the number of the node that gets the first call of a job. */
  private static int firstNodeOf(String job) {
    return (Integer.parseInt(job, 16) - FIRST_JOB) % NODE_COUNT;
  }

  /** Waits until the store has executed the appends of these jobs. */
  private static void awaitStored(NodeCluster cluster, Set<String> jobs) throws Exception {
    for (int i = 0; i < MAXIMUM_POLLS; i++) {
      if (storedJobs(cluster).containsAll(jobs)) {
        return;
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    throw new IllegalStateException("the store does not contain all of " + jobs);
  }

  private static List<String> storedJobs(NodeCluster cluster) throws Exception {
    Matcher matcher = JOB_KEY.matcher(cluster.get("/log-newest?topic=keyed.intake&part=0"));
    List<String> jobs = new ArrayList<>();
    while (matcher.find()) {
      jobs.add(matcher.group(1));
    }
    jobs.removeIf(job -> Long.parseLong(job, 16) < FIRST_JOB);
    return jobs;
  }

  private static List<String> awaitStoredJobsCompleted(NodeCluster cluster) throws Exception {
    for (int node = 0; node < NODE_COUNT; node++) {
      cluster.submitUntilAccepted(node, NodeCluster.KEY, LATER_JOB, PAYLOAD, 1);
    }
    List<String> stored = storedJobs(cluster);
    for (String job : stored) {
      cluster.waitForState(0, job, "completed");
    }
    return stored;
  }

  private static void assertNoRejectedJobRan(
      NodeCluster cluster, RejectedJobs callers, List<String> stored) throws Exception {
    String ledger = cluster.get("/ledger");
    List<String> rejected = callers.rejected();
    List<String> rejectedAndRun = new ArrayList<>(rejected);
    rejectedAndRun.removeIf(job -> !ledger.contains("\"" + job + "\""));
    List<String> storedWithoutAcceptance = new ArrayList<>(callers.notAccepted());
    storedWithoutAcceptance.retainAll(stored);
    String counts =
        "jobs=%d stored=%d rejected=%d stored_without_acceptance=%d rejected_and_run=%d %s"
            .formatted(
                JOB_COUNT,
                stored.size(),
                rejected.size(),
                storedWithoutAcceptance.size(),
                rejectedAndRun.size(),
                callers.statusesByJob());
    logger.atInfo().log("%s", counts);
    assertThat(counts, rejectedAndRun, is(empty()));
    assertThat(
        "appends without a response, " + counts, storedWithoutAcceptance.size(), greaterThan(0));
  }
}
