package org.flamingochute.testsuite.node;

import static org.flamingochute.testsuite.node.NodeCluster.KEY;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.util.List;
import org.flamingochute.platform.standin.FleetSettings;
import org.flamingochute.platform.standin.WorkPayload;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against small instances that follow only the statuses of jobs and do not see how they end,
 * or that do not take over when no larger instance is left.
 */
final class StandbyNodeProcessTest {
  private static final String JOB = "00000000000000f1";
  private static final String LATER_JOB = "00000000000000f2";
  private static final WorkPayload PAYLOAD = new WorkPayload(100, 2_000, "clubs", 0, false);
  private static final List<FleetSettings.PoolSize> POOLS =
      List.of(new FleetSettings.PoolSize("workshop", 4), new FleetSettings.PoolSize("reserve", 1));
  private static final String JOB_STATUS_TOPIC =
      """
      [scheduling]
      job_status_topic = true
      compact_records = true
      """;

  @TempDir private Path folder;

  @Test
  void standbyNodeServesCallersAndTakesOverFromTheLastLargeInstance() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 2, POOLS, JOB_STATUS_TOPIC, 1)) {
      final int large = 0;
      final int small = 1;
      assertThat(cluster.waitForLeader(-1), is(large));
      cluster.submitUntilAccepted(small, KEY, JOB, PAYLOAD, 8);
      cluster.waitForState(small, JOB, "completed");
      assertThat(cluster.readLog(small), not(containsString("topic_loaded topic=SCHEDULE")));

      cluster.sendSignal(large, "KILL");
      cluster.waitForEvent(small, "standby_activated");
      assertThat(cluster.waitForLeader(large), is(small));
      cluster.submitUntilAccepted(small, KEY, LATER_JOB, PAYLOAD, 8);
      cluster.waitForState(small, LATER_JOB, "completed");
      cluster.waitForState(small, JOB, "completed");
      assertThat(cluster.get("/ledger"), containsString("\"starts\":16,\"doubled\":0"));
    }
  }

  @Test
  void fleetOfSmallInstancesOnlyHasLeader() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 2, POOLS, JOB_STATUS_TOPIC, 0)) {
      int leader = cluster.waitForLeader(-1);
      cluster.submitUntilAccepted(1 - leader, KEY, JOB, PAYLOAD, 8);
      cluster.waitForState(1 - leader, JOB, "completed");
      cluster.waitForState(leader, JOB, "completed");
    }
  }
}
