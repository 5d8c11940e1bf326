package org.flamingochute.testsuite.node;

import static org.flamingochute.testsuite.node.NodeCluster.KEY;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.flamingochute.platform.standin.WorkPayload;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a start in an evacuated data centre: requests pass from the store through each
 * node to its scheduler and to that of its successor.
 */
final class EvacuationProcessTest {
  private static final String DATA_CENTRE = "dc-0";
  private static final String JOB = "00000000000000e1";
  private static final String LATER_JOB = "00000000000000e2";
  private static final String LAST_JOB = "00000000000000e3";
  private static final Pattern RUN = Pattern.compile("\\d+/\\d+@([^@,\\s]+)");
  private static final WorkPayload PAYLOAD = new WorkPayload(100, 2_000, "clubs", 0, false);

  @TempDir private Path folder;

  /** Data centres of the workers that the machines service has listed so far. */
  private final Map<String, String> dataCentres = new HashMap<>();

  private void request(NodeCluster cluster, String dataCentre, String value) throws Exception {
    cluster.post("/operator/declare?key=evacuate/" + dataCentre, value);
  }

  private Set<String> dataCentresOf(NodeCluster cluster, int node, String job) throws Exception {
    for (JsonNode machine :
        new ObjectMapper().readTree(cluster.get("/machines")).path("machines")) {
      dataCentres.put(machine.path("id").asText(), machine.path("zone").asText());
    }
    Set<String> used = new HashSet<>();
    Pattern placed = Pattern.compile("event=tasks_placed job=" + job + " .*runs=(\\S+)");
    Matcher line = placed.matcher(cluster.readLog(node));
    while (line.find()) {
      Matcher run = RUN.matcher(line.group(1));
      while (run.find()) {
        used.add(dataCentres.get(run.group(1)));
      }
    }
    return used;
  }

  @Test
  void requestHoldsForEachLeaderUntilItIsRemoved() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 2)) {
      final int leader = cluster.waitForLeader(-1);
      final int other = 1 - leader;
      request(cluster, "nowhere", "{}");
      request(cluster, "dc-1", "[]");
      request(cluster, DATA_CENTRE, "{}");
      for (int node : new int[] {leader, other}) {
        cluster.waitForEvent(
            node, "evacuation_refused key=\"evacuate/nowhere\" value=\"\\{\\}\" detail=\".+\"");
        cluster.waitForEvent(
            node, "evacuation_refused key=\"evacuate/dc-1\" value=\"\\[\\]\" detail=\".+\"");
        cluster.waitForEvent(node, "evacuation_requested data_centre=" + DATA_CENTRE);
      }
      cluster.submitUntilAccepted(other, KEY, JOB, PAYLOAD, 8);
      cluster.waitForState(other, JOB, "completed");
      assertPlacedElsewhere(dataCentresOf(cluster, leader, JOB));

      cluster.sendSignal(leader, "KILL");
      cluster.waitForLeader(leader);
      cluster.submitUntilAccepted(other, KEY, LATER_JOB, PAYLOAD, 8);
      cluster.waitForState(other, LATER_JOB, "completed");
      assertPlacedElsewhere(dataCentresOf(cluster, other, LATER_JOB));

      request(cluster, DATA_CENTRE, "");
      cluster.waitForEvent(other, "evacuation_ended data_centre=" + DATA_CENTRE);
      cluster.submitUntilAccepted(other, KEY, LAST_JOB, PAYLOAD, 16);
      cluster.waitForState(other, LAST_JOB, "completed");
      assertThat(cluster.get("/ledger"), containsString("\"starts\":32,\"doubled\":0"));
    }
  }

  private static void assertPlacedElsewhere(Set<String> used) {
    assertThat("data centres in use", used, is(not(empty())));
    assertThat(used.toString(), used.contains(DATA_CENTRE), is(false));
    assertThat(used.toString(), used.contains(null), is(false));
  }
}
