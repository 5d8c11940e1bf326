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

/** Records what callers saw. */
public final class CallRecorder {

  private static final long LARGEST_MICROSECONDS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final boolean listsCalls;
  private final List<CallRecord> calls = new ArrayList<>();
  private final Map<String, JobRecord> jobs = new TreeMap<>();
  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private final Histogram latency = new Histogram(LARGEST_MICROSECONDS, SIGNIFICANT_DIGITS);
  private long started;
  private long ended;
  private long crossed;

  /**
   * Creates an empty recorder.
   *
   * @param listsCalls whether each call is listed in the report
   */
  public CallRecorder(boolean listsCalls) {
    this.listsCalls = listsCalls;
  }

  /** Counts a call that began. */
  public synchronized void callStarted() {
    started++;
  }

  /** Records the end of a call. */
  public synchronized void callEnded(CallRecord call) {
    ended++;
    outcomes.merge(call.getOutcome(), 1L, Long::sum);
    if (call.getCrossed()) {
      crossed++;
    }
    if (call.getOutcome() == Outcome.OUTCOME_ANSWERED && call.getKind() != CallKind.CALL_JOB) {
      latency.recordValue(Math.min(LARGEST_MICROSECONDS, call.getLatencyMicroseconds()));
    }
    if (listsCalls) {
      calls.add(call);
    }
  }

  /** Records what is known of a job; replaces what was recorded before. */
  public synchronized void jobSeen(JobRecord job) {
    jobs.put(job.getTag(), job);
  }

  /** Returns the number of calls that began and did not end yet. */
  public synchronized long pendingCalls() {
    return started - ended;
  }

  /** Returns the number of jobs that are neither at their end nor refused. */
  public synchronized long pendingJobs() {
    return jobs.values().stream().filter(job -> !isSettled(job)).count();
  }

  private static boolean isSettled(JobRecord job) {
    return job.getSubmissionRefused() || isTerminal(job.getPhase());
  }

  /** Tells whether a job in a phase is at its end, whatever the end. */
  public static boolean isTerminal(JobPhase phase) {
    return switch (phase) {
      case JOB_SUCCEEDED, JOB_CANCELLED, JOB_PARKED, JOB_OUTCOME_UNKNOWN -> true;
      default -> false;
    };
  }

  /** Returns the report; calls that have not ended count as unknown. */
  public synchronized CallerReport report(long seed, long durationMilliseconds) {
    long unknown = outcomes.getOrDefault(Outcome.OUTCOME_UNKNOWN, 0L) + started - ended;
    return CallerReport.newBuilder()
        .setSeed(seed)
        .setDurationMilliseconds(durationMilliseconds)
        .setRequests(started)
        .setAnswered(outcomes.getOrDefault(Outcome.OUTCOME_ANSWERED, 0L))
        .setNotRun(outcomes.getOrDefault(Outcome.OUTCOME_NOT_RUN, 0L))
        .setUnknown(unknown)
        .setCrossed(crossed)
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
