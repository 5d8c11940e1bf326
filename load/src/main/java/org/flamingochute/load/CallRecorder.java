package org.flamingochute.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.flamingochute.schema.CallKind;
import org.flamingochute.schema.CallRecord;
import org.flamingochute.schema.CallerReport;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.JobRecord;
import org.flamingochute.schema.LatencySummary;
import org.flamingochute.schema.Outcome;

/** Records the calls and jobs as observed by the callers. */
public final class CallRecorder {

  private static final long MAXIMUM_LATENCY_MICROSECONDS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final boolean listsCalls;
  private final List<CallRecord> calls = new ArrayList<>();
  private final Map<String, JobRecord> jobs = new TreeMap<>();
  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private final Histogram latency = new Histogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS);
  private long startedCalls;
  private long endedCalls;
  private long crossedCalls;

  /**
   * Creates an empty recorder.
   *
   * @param listsCalls whether the report lists each call
   */
  public CallRecorder(boolean listsCalls) {
    this.listsCalls = listsCalls;
  }

  /** Records the start of a call. */
  public synchronized void recordCallStart() {
    startedCalls++;
  }

  /** Records the end of a call. */
  public synchronized void recordCallEnd(CallRecord call) {
    endedCalls++;
    outcomes.merge(call.getOutcome(), 1L, Long::sum);
    if (call.getCrossed()) {
      crossedCalls++;
    }
    if (call.getOutcome() == Outcome.OUTCOME_ANSWERED && call.getKind() != CallKind.CALL_JOB) {
      latency.recordValue(Math.min(MAXIMUM_LATENCY_MICROSECONDS, call.getLatencyMicroseconds()));
    }
    if (listsCalls) {
      calls.add(call);
    }
  }

  /** Records the state of a job; replaces its previous record. */
  public synchronized void recordJob(JobRecord job) {
    jobs.put(job.getTag(), job);
  }

  /** Returns the number of started calls that have not ended. */
  public synchronized long pendingCalls() {
    return startedCalls - endedCalls;
  }

  /** Returns the number of jobs that are neither in a terminal phase nor refused. */
  public synchronized long pendingJobs() {
    return jobs.values().stream().filter(job -> !isFinished(job)).count();
  }

  private static boolean isFinished(JobRecord job) {
    return job.getSubmissionRefused() || isTerminal(job.getPhase());
  }

  /** Returns whether a phase is terminal. */
  public static boolean isTerminal(JobPhase phase) {
    return switch (phase) {
      case JOB_SUCCEEDED, JOB_CANCELLED, JOB_PARKED, JOB_OUTCOME_UNKNOWN -> true;
      default -> false;
    };
  }

  /** Returns a report, in which calls that have not ended count as unknown. */
  public synchronized CallerReport createReport(long seed, long durationMilliseconds) {
    long unknown = outcomes.getOrDefault(Outcome.OUTCOME_UNKNOWN, 0L) + startedCalls - endedCalls;
    return CallerReport.newBuilder()
        .setSeed(seed)
        .setDurationMilliseconds(durationMilliseconds)
        .setRequests(startedCalls)
        .setAnswered(outcomes.getOrDefault(Outcome.OUTCOME_ANSWERED, 0L))
        .setNotRun(outcomes.getOrDefault(Outcome.OUTCOME_NOT_RUN, 0L))
        .setUnknown(unknown)
        .setCrossed(crossedCalls)
        .setLatency(latencySummary())
        .addAllCalls(calls)
        .addAllJobs(jobs.values())
        .build();
  }

  private LatencySummary latencySummary() {
    return LatencySummary.newBuilder()
        .setCount(latency.getTotalCount())
        .setP50Microseconds(latency.getValueAtPercentile(50))
        .setP90Microseconds(latency.getValueAtPercentile(90))
        .setP99Microseconds(latency.getValueAtPercentile(99))
        .setMaximumMicroseconds(latency.getMaxValue())
        .build();
  }
}
