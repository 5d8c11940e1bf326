package org.flamingochute.testsuite.node;

import static org.flamingochute.testsuite.node.NodeCluster.KEY;
import static org.flamingochute.testsuite.node.NodeCluster.OTHER_KEY;
import static org.flamingochute.testsuite.node.NodeCluster.statusOf;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import org.flamingochute.platform.standin.WorkPayload;
import org.flamingochute.platform.standin.caller.CallResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the node program in separate processes against the platform stand-in, with injected faults.
 */
final class NodeProcessTest {
  private static final String JOB = "00000000000000a1";
  private static final String LATER_JOB = "00000000000000a2";
  private static final int NODES = 3;
  private static final int QUICK_JOBS = 30;

  @TempDir private Path folder;

  private static WorkPayload work(long milliseconds) {
    return new WorkPayload(milliseconds, 500, "clubs", 0, false);
  }

  @Test
  void jobIsAcceptedAtOneNodeRunOnceAndShownAtAnother() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODES)) {
      cluster.submitUntilAccepted(0, KEY, JOB, work(100), 4);
      cluster.waitForState(1, JOB, "completed");
      assertThat(cluster.get("/ledger"), containsString("\"starts\":4,\"doubled\":0"));
    }
  }

  /** The procedures in docs/OPERATIONS.md rely on these fields. */
  @Test
  void logsLeadFromTheIdOfTheJobToItsCourse() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODES)) {
      int leader = cluster.waitForLeader(-1);
      cluster.submitUntilAccepted(0, KEY, JOB, new WorkPayload(50, 500, "clubs", 1, false), 1);
      cluster.waitForState(0, JOB, "completed");
      String path = "path=/orders/" + JOB;
      cluster.waitForMatch(
          0,
          "call_answered method=POST " + path + " status=200 reason=\"stored\" duration_ms=\\d+");
      cluster.waitForMatch(
          leader, "tasks_placed job=" + JOB + " occurrence=0 step=0 runs=0/1@\\S+");
      cluster.waitForMatch(
          leader, "run_over task=" + JOB + "\\.0\\.0\\.0 attempt=1 worker=\\S+ cause=failed");
      cluster.waitForMatch(
          leader, "job_ended job=" + JOB + " queue=orders phase=COMPLETED cause=\\S+ age_ms=\\d+");
      assertThat(statusOf(cluster.submit(0, "no-key", LATER_JOB, work(10), 1)), is(401));
      cluster.waitForMatch(
          0, "call_answered method=POST path=/orders/" + LATER_JOB + " status=401 reason=\".+\"");
    }
  }

  /**
   * Guards against a node that reports a job as unknown because it reads jobs in batches and has
   * not yet read one that another node has just accepted.
   */
  @ParameterizedTest
  @ValueSource(strings = {"GET", "DELETE"})
  void acceptedJobIsKnownAtOnceAtEveryNode(String method) throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODES)) {
      cluster.submitUntilAccepted(0, KEY, JOB, work(10), 1);
      for (int i = 0; i < QUICK_JOBS; i++) {
        String job = "%016x".formatted(0xb000 + i);
        cluster.submitUntilAccepted(0, KEY, job, work(10), 1);
        for (int node = 1; node < NODES; node++) {
          CallResult result = cluster.call(node, KEY, method, job);
          assertThat(job + " " + result, statusOf(result), is(200));
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"KILL", "STOP", "TERM"})
  void jobsGoOnWhenTheLeaderGoes(String signal) throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODES)) {
      int leader = cluster.waitForLeader(-1);
      int other = (leader + 1) % NODES;
      cluster.submitUntilAccepted(other, KEY, JOB, work(1_500), 6);
      cluster.waitForState(other, JOB, "running");
      cluster.signal(leader, signal);
      cluster.submitUntilAccepted(other, KEY, LATER_JOB, work(100), 4);
      cluster.waitForState(other, LATER_JOB, "completed");
      cluster.waitForState(other, JOB, "completed");
      assertThat(cluster.get("/ledger"), containsString("\"starts\":10,\"doubled\":0"));
      if (signal.equals("TERM")) {
        assertThat(cluster.waitForExit(leader), is(0));
      }
    }
  }

  /**
   * Guards against a successor that treats a predecessor as ended while it may still hold leases.
   */
  @ParameterizedTest
  @CsvSource({"KILL,UNKNOWN", "STOP,UNKNOWN", "TERM,OVER"})
  void successorKnowsHowItsPredecessorWent(String signal, String expected) throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODES)) {
      int leader = cluster.waitForLeader(-1);
      cluster.signal(leader, signal);
      int successor = cluster.waitForLeader(leader);
      cluster.waitForMatch(
          successor, "leadership_taken epoch=\\d+ jobs=\\d+ predecessor=" + expected);
    }
  }

  /**
   * Guards against a successor that stops valid runs as orphans because workers list runs of jobs
   * that it has not read yet.
   */
  @Test
  void successorLearnsTheJobsBeforeItOrders() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 2)) {
      int leader = cluster.waitForLeader(-1);
      int other = 1 - leader;
      cluster.submitUntilAccepted(leader, KEY, LATER_JOB, work(10), 1);
      cluster.waitForState(other, LATER_JOB, "completed");
      cluster.post("/fault?store=NONE&silent_topic=keyed.intake", "");
      cluster.submitUntilAccepted(leader, KEY, JOB, work(4_000), 6);
      cluster.waitForState(leader, JOB, "running");
      cluster.signal(leader, "KILL");
      cluster.waitForLine(other, "event=leadership_claim ");
      Thread.sleep(1_500);
      cluster.post("/fault?store=NONE", "");
      cluster.waitForState(other, JOB, "completed");
      assertThat(cluster.get("/ledger"), containsString("\"starts\":7,\"doubled\":0"));
    }
  }

  @Test
  void frozenLeaderOrdersNothingAfterItWakes() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODES)) {
      int leader = cluster.waitForLeader(-1);
      int other = (leader + 1) % NODES;
      cluster.submitUntilAccepted(other, KEY, JOB, work(1_500), 6);
      cluster.waitForState(other, JOB, "running");
      cluster.signal(leader, "STOP");
      cluster.waitForLeader(leader);
      cluster.signal(leader, "CONT");
      cluster.waitForLine(leader, "event=leadership_lost");
      cluster.waitForState(other, JOB, "completed");
      assertThat(cluster.get("/ledger"), containsString("\"starts\":6,\"doubled\":0"));
    }
  }

  @Test
  void withdrawnKeyIsRefusedAtEveryNode() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODES)) {
      cluster.submitUntilAccepted(0, OTHER_KEY, JOB, work(10), 1);
      cluster.declare(2, KEY);
      for (int i = 0; i < NODES; i++) {
        cluster.waitForLine(i, "event=declaration_in_force version=2");
        assertThat(statusOf(cluster.call(i, OTHER_KEY, "GET", JOB)), is(401));
        assertThat(statusOf(cluster.submit(i, OTHER_KEY, LATER_JOB, work(10), 1)), is(401));
      }
    }
  }

  @Test
  void keysAreRefusedOnceTheirDeclarationIsTooOld() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 1)) {
      cluster.submitUntilAccepted(0, KEY, JOB, work(10), 1);
      cluster.post("/fault?store=SILENT", "");
      Thread.sleep(4_500);
      CallResult result = cluster.call(0, KEY, "GET", JOB);
      assertThat(statusOf(result), is(503));
    }
  }

  @Test
  void refusedJobIsNotStored() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODES)) {
      cluster.submitUntilAccepted(0, KEY, JOB, work(10), 1);
      cluster.post("/fault?store=BUSY", "");
      assertThat(statusOf(cluster.submit(0, KEY, LATER_JOB, work(10), 1)), is(503));
      cluster.post("/fault?store=NONE", "");
      cluster.submitUntilAccepted(1, KEY, "00000000000000a3", work(10), 1);
      cluster.waitForState(1, "00000000000000a3", "completed");
      assertThat(statusOf(cluster.call(1, KEY, "GET", LATER_JOB)), is(410));
      assertThat(cluster.get("/ledger"), not(containsString(LATER_JOB)));
    }
  }

  /** The progress of all tasks is stored in one record, and the store limits the record size. */
  @Test
  void jobThatDoesNotFitTheStoreIsRefusedAndHarmsNoOther() throws Exception {
    WorkPayload nothing = new WorkPayload(10, 0, "clubs", 0, false);
    try (NodeCluster cluster = new NodeCluster(folder, 1)) {
      cluster.submitUntilAccepted(0, KEY, JOB, work(10), 1);
      int status = statusOf(cluster.submit(0, KEY, LATER_JOB, nothing, 9_000));
      cluster.submitUntilAccepted(0, KEY, "00000000000000a5", work(10), 1);
      cluster.waitForState(0, "00000000000000a5", "completed");
      assertThat(status, is(400));
    }
  }

  @Test
  void storeThatComesBackIsUsedAgain() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 1)) {
      cluster.submitUntilAccepted(0, KEY, JOB, work(10), 1);
      cluster.post("/fault?store=SILENT", "");
      assertThat(statusOf(cluster.submit(0, KEY, LATER_JOB, work(10), 1)), not(is(200)));
      Thread.sleep(2_000);
      cluster.post("/fault?store=NONE", "");
      cluster.submitUntilAccepted(0, KEY, "00000000000000a4", work(10), 1);
    }
  }

  @Test
  void jobWhoseAcknowledgementIsLostIsNeverSaidNotToRun() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 1)) {
      cluster.submitUntilAccepted(0, KEY, JOB, work(10), 1);
      cluster.post("/fault?store=LOST_ANSWERS", "");
      int status = statusOf(cluster.submit(0, KEY, LATER_JOB, work(10), 1));
      assertThat("status " + status, status == 0 || status == 504, is(true));
      cluster.post("/fault?store=NONE", "");
      cluster.waitForState(0, LATER_JOB, "completed");
      assertThat(cluster.get("/ledger"), containsString("\"doubled\":0"));
    }
  }

  @Test
  void waveMaintainsItsMachinesWithinItsLimit() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODES)) {
      cluster.post(
          "/operator/declare?key=wave/1",
          "{\"wave\":1,\"machines\":[\"machine-0\",\"machine-1\",\"machine-2\"],"
              + "\"duration_s\":20,\"max_count\":1}");
      cluster.submitUntilAccepted(0, KEY, JOB, work(300), 8);
      cluster.waitForState(0, JOB, "completed");
      String report = "";
      for (int i = 0; i < 600 && !report.contains("completed"); i++) {
        Thread.sleep(50);
        report = cluster.get("/operator/report?key=wave/1");
      }
      assertThat(report, containsString("completed"));
      assertThat(cluster.get("/ledger"), containsString("\"most_in_maintenance\":1"));
      assertThat(cluster.get("/ledger"), containsString("\"doubled\":0"));
    }
  }
}
