package org.flamingochute.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.flamingochute.schema.CallKind;
import org.flamingochute.schema.CallRecord;
import org.flamingochute.schema.CallerReport;
import org.flamingochute.schema.EndpointReport;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.JobCount;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.JobRecord;
import org.flamingochute.schema.LatencySummary;
import org.flamingochute.schema.Outcome;
import org.flamingochute.schema.RequestCount;
import org.flamingochute.schema.TeamPeak;
import org.flamingochute.schema.TeamSection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that each kind of violation is counted and makes the demonstration fail. */
class DemoSummaryTest {

  private final CallerReport.Builder callers =
      CallerReport.newBuilder()
          .setRequests(10)
          .setAnswered(9)
          .setNotRun(1)
          .setLatency(LatencySummary.newBuilder().setP99Microseconds(12_345));
  private final EndpointReport.Builder endpoints = EndpointReport.newBuilder();
  private final FleetDescription fleet =
      FleetDescription.newBuilder()
          .putTeams("rosario", TeamSection.newBuilder().setCap(4).build())
          .build();

  private DemoSummary.Result compareReports() {
    return new DemoSummary(callers.build(), endpoints.build(), fleet).compare();
  }

  @ParameterizedTest(
      name = "{0} with outcome {1} started {2} times: doubled {3}, false refusals {4}")
  @CsvSource({
    "CALL_ORDER, OUTCOME_ANSWERED, 1, 0, 0",
    "CALL_ORDER, OUTCOME_ANSWERED, 2, 1, 0",
    "CALL_ORDER, OUTCOME_UNKNOWN, 0, 0, 0",
    "CALL_ORDER, OUTCOME_UNKNOWN, 1, 0, 0",
    "CALL_ORDER, OUTCOME_UNKNOWN, 2, 1, 0",
    "CALL_ORDER, OUTCOME_NOT_RUN, 0, 0, 0",
    "CALL_ORDER, OUTCOME_NOT_RUN, 1, 0, 1",
    "CALL_INTERACTIVE, OUTCOME_ANSWERED, 2, 0, 0",
    "CALL_INTERACTIVE, OUTCOME_NOT_RUN, 1, 0, 1",
  })
  void callsAreCompared(CallKind kind, Outcome outcome, int begun, long doubled, long falseNotRun) {
    callers.addCalls(CallRecord.newBuilder().setTag("t1").setKind(kind).setOutcome(outcome));
    if (begun > 0) {
      endpoints.addRequests(RequestCount.newBuilder().setTag("t1").setBegun(begun));
    }
    DemoSummary.Result result = compareReports();
    assertThat(result.doubled(), equalTo(doubled));
    assertThat(result.falseNotRun(), equalTo(falseNotRun));
    assertThat(result.isSuccessful(), equalTo(doubled + falseNotRun == 0));
  }

  @ParameterizedTest(
      name = "job \"{0}\" idempotent {1}, {2}, started {3}, succeeded {4}: lost {5}, doubled {6}")
  @CsvSource({
    "'', false, JOB_PHASE_UNSPECIFIED, 0, 0, 0, 0",
    "j1, false, JOB_SUCCEEDED, 1, 1, 0, 0",
    "j1, false, JOB_SUCCEEDED, 1, 0, 1, 0",
    "j1, false, JOB_SUCCEEDED, 0, 0, 1, 0",
    "j1, false, JOB_SUCCEEDED, 2, 1, 0, 1",
    "j1, true, JOB_SUCCEEDED, 2, 1, 0, 0",
    "j1, false, JOB_PARKED, 1, 0, 0, 0",
    "j1, false, JOB_OUTCOME_UNKNOWN, 1, 0, 0, 0",
    "j1, false, JOB_CANCELLED, 0, 0, 0, 0",
    "j1, false, JOB_WAITING, 0, 0, 1, 0",
    "j1, false, JOB_RUNNING, 1, 0, 1, 0",
    "j1, false, JOB_PHASE_UNSPECIFIED, 1, 1, 1, 0",
  })
  void jobsAreCompared(
      String job,
      boolean idempotent,
      JobPhase phase,
      int begun,
      int succeeded,
      long lost,
      long doubled) {
    callers.addJobs(
        JobRecord.newBuilder().setTag("t1").setJob(job).setIdempotent(idempotent).setPhase(phase));
    if (begun > 0) {
      endpoints.addJobs(
          JobCount.newBuilder().setTag("t1").setJob(job).setBegun(begun).setSucceeded(succeeded));
    }
    DemoSummary.Result result = compareReports();
    assertThat(result.lostJobs(), equalTo(lost));
    assertThat(result.doubled(), equalTo(doubled));
    assertThat(result.isSuccessful(), equalTo(lost + doubled == 0));
  }

  @ParameterizedTest(name = "peak {0} under a cap of 4 is an excess of {1}")
  @CsvSource({"0, 0", "4, 0", "5, 1", "9, 5"})
  void peakIsComparedWithCap(int peak, long excess) {
    endpoints.addTeams(TeamPeak.newBuilder().setTeam("rosario").setRunning(peak));
    DemoSummary.Result result = compareReports();
    assertThat(result.capExcess(), equalTo(excess));
    assertThat(result.isSuccessful(), equalTo(excess == 0));
  }

  @ParameterizedTest(name = "{0} requests, {1} answered, {2} crossed, {3} cut: successful {4}")
  @CsvSource({
    "10, 9, 0, 0, true",
    "10, 5, 0, 0, true",
    "10, 4, 0, 0, false",
    "0, 0, 0, 0, false",
    "10, 9, 1, 0, false",
    "10, 9, 0, 1, false",
  })
  void totalsDetermineSuccess(
      long requests, long answered, long crossed, long cut, boolean isSuccessful) {
    callers.setRequests(requests).setAnswered(answered).setCrossed(crossed);
    endpoints.setCutByPowerDown(cut);
    assertThat(compareReports().isSuccessful(), equalTo(isSuccessful));
  }

  @Test
  void summaryLineHasFixedFormat() {
    assertThat(
        compareReports().summaryLine(),
        equalTo(
            "event=demo_summary requests=10 answered=9 not_run=1 unknown=0 crossed=0"
                + " lost_jobs=0 doubled=0 cap_excess=0 p99_ms=12"));
  }
}
