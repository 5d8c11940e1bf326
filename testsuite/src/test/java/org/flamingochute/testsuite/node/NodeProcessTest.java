package org.flamingochute.testsuite.node;

import static org.flamingochute.testsuite.node.NodeCluster.KEY;
import static org.flamingochute.testsuite.node.NodeCluster.OTHER_KEY;
import static org.flamingochute.testsuite.node.NodeCluster.statusOf;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.platform.standin.WorkPayload;
import org.flamingochute.platform.standin.caller.CallResult;
import org.flamingochute.testsuite.knownred.KnownRedExtension;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the node program in separate processes against the platform stand-in, with injected faults.
 */
@ExtendWith(KnownRedExtension.class)
final class NodeProcessTest {
  private static final String JOB = "00000000000000a1";
  private static final String LATER_JOB = "00000000000000a2";
  private static final int NODE_COUNT = 3;
  private static final int SHORT_JOB_COUNT = 30;
  private static final int MAXIMUM_REJECTED_JOBS = 8;

  @TempDir private Path folder;

  private static WorkPayload payloadOf(long milliseconds) {
    return new WorkPayload(milliseconds, 500, "clubs", 0, false);
  }

  @Test
  void acceptedJobRunsOnceAndIsVisibleAtAnotherNode() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT)) {
      cluster.submitUntilAccepted(0, KEY, JOB, payloadOf(100), 4);
      cluster.waitForState(1, JOB, "completed");
      assertThat(cluster.get("/ledger"), containsString("\"starts\":4,\"doubled\":0"));
    }
  }

  /** The procedures in docs/OPERATIONS.md rely on these fields. */
  @Test
  void logsTraceJobById() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT)) {
      int leader = cluster.waitForLeader(-1);
      cluster.submitUntilAccepted(0, KEY, JOB, new WorkPayload(50, 500, "clubs", 1, false), 1);
      cluster.waitForState(0, JOB, "completed");
      String path = "path=/orders/" + JOB;
      cluster.waitForEvent(
          0,
          "call_answered method=POST " + path + " status=200 reason=\"stored\" duration_ms=\\d+");
      cluster.waitForEvent(
          leader, "tasks_placed job=" + JOB + " occurrence=0 step=0 runs=0/1@\\S+");
      cluster.waitForEvent(
          leader, "run_over task=" + JOB + "\\.0\\.0\\.0 attempt=1 worker=\\S+ cause=failed");
      cluster.waitForEvent(
          leader, "job_ended job=" + JOB + " queue=orders phase=COMPLETED cause=\\S+ age_ms=\\d+");
      assertThat(statusOf(cluster.submit(0, "no-key", LATER_JOB, payloadOf(10), 1)), is(401));
      cluster.waitForEvent(
          0, "call_answered method=POST path=/orders/" + LATER_JOB + " status=401 reason=\".+\"");
    }
  }

  /**
   * Guards against a node that reports a job as unknown because it reads jobs in batches and has
   * not yet read one that another node has just accepted.
   */
  @ParameterizedTest
  @ValueSource(strings = {"GET", "DELETE"})
  void acceptedJobIsImmediatelyAvailableAtEveryNode(String method) throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT)) {
      cluster.submitUntilAccepted(0, KEY, JOB, payloadOf(10), 1);
      for (int i = 0; i < SHORT_JOB_COUNT; i++) {
        String job = "%016x".formatted(0xb000 + i);
        cluster.submitUntilAccepted(0, KEY, job, payloadOf(10), 1);
        for (int node = 1; node < NODE_COUNT; node++) {
          CallResult result = cluster.call(node, KEY, method, job);
          assertThat(job + " " + result, statusOf(result), is(200));
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"KILL", "STOP", "TERM"})
  void jobsCompleteAfterLeaderStops(String signal) throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT)) {
      int leader = cluster.waitForLeader(-1);
      int other = (leader + 1) % NODE_COUNT;
      cluster.submitUntilAccepted(other, KEY, JOB, payloadOf(1_500), 6);
      cluster.waitForState(other, JOB, "running");
      cluster.sendSignal(leader, signal);
      cluster.submitUntilAccepted(other, KEY, LATER_JOB, payloadOf(100), 4);
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
  void successorDeterminesStateOfPredecessor(String signal, String expected) throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT)) {
      int leader = cluster.waitForLeader(-1);
      cluster.sendSignal(leader, signal);
      int successor = cluster.waitForLeader(leader);
      cluster.waitForEvent(
          successor, "leadership_taken epoch=\\d+ jobs=\\d+ predecessor=" + expected);
    }
  }

  /**
   * Guards against a successor that stops valid runs as orphans because workers list runs of jobs
   * that it has not read yet.
   */
  @Test
  void successorReadsJobsBeforeItSendsCommands() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 2)) {
      int leader = cluster.waitForLeader(-1);
      int other = 1 - leader;
      cluster.submitUntilAccepted(leader, KEY, LATER_JOB, payloadOf(10), 1);
      cluster.waitForState(other, LATER_JOB, "completed");
      cluster.post("/fault?store=NONE&silent_topic=keyed.intake", "");
      cluster.submitUntilAccepted(leader, KEY, JOB, payloadOf(4_000), 6);
      cluster.waitForState(leader, JOB, "running");
      cluster.sendSignal(leader, "KILL");
      cluster.waitForLine(other, "event=leadership_claim ");
      Thread.sleep(1_500);
      cluster.post("/fault?store=NONE", "");
      cluster.waitForState(other, JOB, "completed");
      // With the successor's log, since the reason for more starts is in it.
      assertThat(
          cluster.readLog(other),
          cluster.get("/ledger"),
          containsString("\"starts\":7,\"doubled\":0"));
    }
  }

  @Test
  void suspendedLeaderSendsNoCommandsAfterItResumes() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT)) {
      int leader = cluster.waitForLeader(-1);
      int other = (leader + 1) % NODE_COUNT;
      cluster.submitUntilAccepted(other, KEY, JOB, payloadOf(1_500), 6);
      cluster.waitForState(other, JOB, "running");
      cluster.sendSignal(leader, "STOP");
      cluster.waitForLeader(leader);
      cluster.sendSignal(leader, "CONT");
      cluster.waitForLine(leader, "event=leadership_lost");
      cluster.waitForState(other, JOB, "completed");
      assertThat(cluster.get("/ledger"), containsString("\"starts\":6,\"doubled\":0"));
    }
  }

  @Test
  void revokedKeyIsRejectedAtEveryNode() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT)) {
      cluster.submitUntilAccepted(0, OTHER_KEY, JOB, payloadOf(10), 1);
      cluster.declare(2, KEY);
      for (int i = 0; i < NODE_COUNT; i++) {
        cluster.waitForLine(i, "event=declaration_in_force version=2");
        assertThat(statusOf(cluster.call(i, OTHER_KEY, "GET", JOB)), is(401));
        assertThat(statusOf(cluster.submit(i, OTHER_KEY, LATER_JOB, payloadOf(10), 1)), is(401));
      }
    }
  }

  @Test
  void keysAreRejectedWhenDeclarationIsStale() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 1)) {
      cluster.submitUntilAccepted(0, KEY, JOB, payloadOf(10), 1);
      cluster.post("/fault?store=SILENT", "");
      Thread.sleep(4_500);
      CallResult result = cluster.call(0, KEY, "GET", JOB);
      assertThat(statusOf(result), is(503));
    }
  }

  /**
   * A job is rejected with 503 if the store refused every append, or with 504 if the caller's
   * timeout passes while an append is in progress. A store that refuses all appends has stored
   * neither.
   */
  @Test
  void rejectedJobIsNotStored() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT)) {
      cluster.submitUntilAccepted(0, KEY, JOB, payloadOf(10), 1);
      cluster.post("/fault?store=BUSY", "");
      List<String> rejectedJobs = new ArrayList<>();
      int status = 504;
      for (int i = 0; i < MAXIMUM_REJECTED_JOBS && status == 504; i++) {
        rejectedJobs.add("%016x".formatted(0xc000 + i));
        status = statusOf(cluster.submit(0, KEY, rejectedJobs.getLast(), payloadOf(10), 1));
      }
      assertThat(status, is(503));
      cluster.post("/fault?store=NONE", "");
      cluster.submitUntilAccepted(1, KEY, LATER_JOB, payloadOf(10), 1);
      cluster.waitForState(1, LATER_JOB, "completed");
      for (String job : rejectedJobs) {
        assertThat(job, statusOf(cluster.call(1, KEY, "GET", job)), is(410));
        assertThat(cluster.get("/ledger"), not(containsString(job)));
      }
    }
  }

  /** The progress of all tasks is stored in one record, and the store limits the record size. */
  @Test
  void jobExceedingRecordLimitIsRejectedWithoutAffectingOthers() throws Exception {
    WorkPayload oversizedPayload = new WorkPayload(10, 0, "clubs", 0, false);
    try (NodeCluster cluster = new NodeCluster(folder, 1)) {
      cluster.submitUntilAccepted(0, KEY, JOB, payloadOf(10), 1);
      int status = statusOf(cluster.submit(0, KEY, LATER_JOB, oversizedPayload, 9_000));
      cluster.submitUntilAccepted(0, KEY, "00000000000000a5", payloadOf(10), 1);
      cluster.waitForState(0, "00000000000000a5", "completed");
      assertThat(status, is(400));
    }
  }

  @Test
  void storeIsUsedAgainAfterRecovery() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 1)) {
      cluster.submitUntilAccepted(0, KEY, JOB, payloadOf(10), 1);
      cluster.post("/fault?store=SILENT", "");
      assertThat(statusOf(cluster.submit(0, KEY, LATER_JOB, payloadOf(10), 1)), not(is(200)));
      Thread.sleep(2_000);
      cluster.post("/fault?store=NONE", "");
      cluster.submitUntilAccepted(0, KEY, "00000000000000a4", payloadOf(10), 1);
    }
  }

  @Test
  void jobWithLostAcknowledgementIsNeverReportedAsNotRun() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, 1)) {
      cluster.submitUntilAccepted(0, KEY, JOB, payloadOf(10), 1);
      cluster.post("/fault?store=LOST_ANSWERS", "");
      int status = statusOf(cluster.submit(0, KEY, LATER_JOB, payloadOf(10), 1));
      assertThat("status " + status, status == 0 || status == 504, is(true));
      cluster.post("/fault?store=NONE", "");
      cluster.waitForState(0, LATER_JOB, "completed");
      assertThat(cluster.get("/ledger"), containsString("\"doubled\":0"));
    }
  }

  @Test
  void waveMaintainsMachinesWithinLimit() throws Exception {
    try (NodeCluster cluster = new NodeCluster(folder, NODE_COUNT)) {
      cluster.post(
          "/operator/declare?key=wave/1",
          "{\"wave\":1,\"machines\":[\"machine-0\",\"machine-1\",\"machine-2\"],"
              + "\"duration_s\":20,\"max_count\":1}");
      cluster.submitUntilAccepted(0, KEY, JOB, payloadOf(300), 8);
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
