package org.flamingochute.testsuite.node;

import static org.flamingochute.testsuite.node.NodeCluster.KEY;
import static org.flamingochute.testsuite.node.NodeCluster.OTHER_KEY;
import static org.flamingochute.testsuite.node.NodeCluster.statusOf;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.util.List;
import org.flamingochute.platform.standin.FleetSettings;
import org.flamingochute.platform.standin.WorkPayload;
import org.flamingochute.platform.standin.caller.CallResult;
import org.flamingochute.platform.standin.caller.NodeClient;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the refusal of jobs for load with nodes in separate processes. */
final class LoadSheddingProcessTest {
  private static final int NODE_COUNT = 2;
  private static final String BACKLOG = "00000000000000b1";
  private static final String JOB_WITHIN_RATE = "00000000000000c1";
  private static final int FIRST_EXCESS_JOB = 0xd000;

  /** One job, and the next one after longer than the test takes. */
  private static final double RATE = 0.001;

  /** Number of polls, which take 25 s, after which a condition of the test has not arisen. */
  private static final int MAXIMUM_POLLS = 1_000;

  private static final long POLL_INTERVAL_MILLISECONDS = 25;
  private static final WorkPayload PAYLOAD = new WorkPayload(10, 100, "clubs", 0, false);

  @TempDir private Path folder;
  private final NodeClient caller = new NodeClient();

  private CallResult submitBacklog(NodeCluster cluster, int node) {
    String body =
        "{\"spec\":\"%s\",\"job_steps\":[{\"count\":100,\"cpu\":1000,\"mem_mb\":1,"
            + "\"estimate_ms\":60000}]}";
    return caller.call(
        cluster.address(node),
        NodeCluster.QUEUE,
        KEY,
        "POST",
        BACKLOG,
        body.formatted(new WorkPayload(600_000, 1_000, "clubs", 0, false).text()));
  }

  /** Submits jobs of the hot team until one is refused; returns its id. */
  private static String submitUntilRefused(NodeCluster cluster, int node) throws Exception {
    for (int i = 0; i < MAXIMUM_POLLS; i++) {
      String job = "%016x".formatted(FIRST_EXCESS_JOB + i);
      if (cluster.submit(node, KEY, job, PAYLOAD, 1) instanceof CallResult.Answered answered
          && answered.status() == 429) {
        assertThat(
            answered.retryAfterSeconds(),
            is(allOf(greaterThanOrEqualTo(1L), lessThanOrEqualTo(5L))));
        return job;
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    throw new IllegalStateException("no job was refused");
  }

  /**
   * Guards against a job that is refused for load and runs nevertheless, and against the refusal of
   * a job that is stored or within its team's rate. With the topic of job statuses, also guards
   * against the leader writing its load to a topic that the instance does not read.
   */
  @ParameterizedTest
  @CsvSource({"false, 2", "true, 2", "true, 1"})
  void refusedJobNeverRunsAndOthersAreAccepted(boolean hasJobStatusTopic, int largeNodes)
      throws Exception {
    List<FleetSettings.PoolSize> pools =
        List.of(
            new FleetSettings.PoolSize("workshop", 4), new FleetSettings.PoolSize("reserve", 1));
    String settings = "[scheduling]\nload_shedding = true\njob_status_topic = " + hasJobStatusTopic;
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT, pools, settings, largeNodes)) {
      // The leader reads its own records once a second, so it refuses few jobs itself.
      int leader = cluster.waitForLeader(-1);
      int node = NODE_COUNT - 1 - leader;
      cluster.declare(2, RATE, KEY, OTHER_KEY);
      for (int i = 0; i < NODE_COUNT; i++) {
        cluster.waitForEvent(i, "declaration_in_force version=2");
      }
      assertThat(statusOf(submitBacklog(cluster, node)), is(200));
      String refused = submitUntilRefused(cluster, node);
      cluster.waitForEvent(
          node,
          "job_refused_for_load job="
              + refused
              + " queue=orders team=team-clubs-key pool=workshop wait_ms=\\d+ load_age_ms=\\d+"
              + " expected_ms=100 objective_ms=1200 retry_after_s=[1-5]");
      cluster.waitForEvent(
          node, "call_answered method=POST path=/orders/" + refused + " status=429 reason=\".+\"");
      for (int i = 0; i < NODE_COUNT; i++) {
        assertThat("stored job at node " + i, statusOf(submitBacklog(cluster, i)), is(200));
      }
      CallResult withinRate = cluster.submit(node, OTHER_KEY, JOB_WITHIN_RATE, PAYLOAD, 1);
      assertThat("job within its team's rate", statusOf(withinRate), is(200));
      assertThat(statusOf(cluster.call(node, KEY, "DELETE", BACKLOG)), is(200));
      cluster.waitForState(node, JOB_WITHIN_RATE, "completed");
      assertThat(
          cluster.get("/log-newest?topic=keyed.intake&part=0"), not(containsString(refused)));
      assertThat(cluster.get("/ledger"), not(containsString(refused)));
      // Without load the caller's retry is accepted.
      cluster.submitUntilAccepted(node, KEY, refused, PAYLOAD, 1);
      cluster.waitForState(node, refused, "completed");
    }
  }
}
