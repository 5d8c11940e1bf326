package org.flamingochute.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.schema.CallKind;
import org.flamingochute.schema.CallRecord;
import org.flamingochute.schema.CallerReport;
import org.flamingochute.schema.EndpointReport;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.JobCount;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.JobRecord;
import org.flamingochute.schema.Outcome;
import org.flamingochute.schema.RequestCount;
import org.flamingochute.schema.TeamPeak;
import org.flamingochute.schema.TeamSection;

/**
 * Compares the report of the callers with that of the runners and workers, call by call.
 *
 * <p>The number of requests is taken only from the callers and the started work only from the
 * endpoints; neither is derived from the other. Example: an answered order whose tag two runners
 * started counts as one doubled order.
 */
public final class DemoSummary {

  private static final long MICROSECONDS_PER_MILLISECOND = 1000;

  private final CallerReport callers;
  private final FleetDescription fleet;
  private final Map<String, RequestCount> requests = new HashMap<>();
  private final Map<String, JobCount> jobs = new HashMap<>();
  private final Map<String, Integer> peaks = new TreeMap<>();
  private final List<String> findings = new ArrayList<>();
  private long cutByPowerDown;

  /**
   * Creates a summary.
   *
   * @param callers report of the callers
   * @param endpoints report of the single process of runners and workers
   * @param fleet description with the caps that were in force
   */
  public DemoSummary(CallerReport callers, EndpointReport endpoints, FleetDescription fleet) {
    this.callers = callers;
    this.fleet = fleet;
    for (RequestCount request : endpoints.getRequestsList()) {
      requests.put(request.getTag(), request);
    }
    for (JobCount job : endpoints.getJobsList()) {
      jobs.put(job.getJob(), job);
    }
    for (TeamPeak team : endpoints.getTeamsList()) {
      peaks.put(team.getTeam(), team.getRunning());
    }
    cutByPowerDown = endpoints.getCutByPowerDown();
  }

  /**
   * Result of the comparison.
   *
   * @param lostJobs acknowledged jobs that did not reach a terminal phase, or that succeeded
   *     according to their caller but to no worker
   * @param doubled orders and non-idempotent jobs that were started more than once
   * @param capExcess sum over the teams of the peak concurrency beyond the cap
   * @param falseNotRun calls that were refused as not run although they were started
   * @param cutInFlight requests and tasks interrupted by a planned stop
   * @param findings one line for each lost job, doubled order or job, team over its cap and false
   *     refusal, and one line for all interrupted work; crossed responses have no line
   */
  public record Result(
      long requests,
      long answered,
      long notRun,
      long unknown,
      long crossed,
      long lostJobs,
      long doubled,
      long capExcess,
      long falseNotRun,
      long cutInFlight,
      long p99Milliseconds,
      List<String> findings) {

    /**
     * Returns whether no guarantee was violated and at least half of the requests were answered.
     */
    public boolean isSuccessful() {
      boolean hasNoViolations =
          crossed + lostJobs + doubled + capExcess + falseNotRun + cutInFlight == 0;
      return hasNoViolations && requests > 0 && answered * 2 >= requests;
    }

    /** Returns the last output line of the demonstration. */
    public String summaryLine() {
      return "event=demo_summary requests=%d answered=%d not_run=%d unknown=%d crossed=%d"
              .formatted(requests, answered, notRun, unknown, crossed)
          + " lost_jobs=%d doubled=%d cap_excess=%d p99_ms=%d"
              .formatted(lostJobs, doubled, capExcess, p99Milliseconds);
    }
  }

  /** Compares the reports. */
  public Result compare() {
    findings.clear();
    final long lostJobCount = countLostJobs();
    final long doubledCount = countDoubledOrders() + countDoubledJobs();
    final long capExcess = countCapExcess();
    final long falseNotRun = countFalseNotRun();
    if (cutByPowerDown > 0) {
      findings.add("event=cut_in_flight count=" + cutByPowerDown);
    }
    return new Result(
        callers.getRequests(),
        callers.getAnswered(),
        callers.getNotRun(),
        callers.getUnknown(),
        callers.getCrossed(),
        lostJobCount,
        doubledCount,
        capExcess,
        falseNotRun,
        cutByPowerDown,
        callers.getLatency().getP99Microseconds() / MICROSECONDS_PER_MILLISECOND,
        List.copyOf(findings));
  }

  private long countLostJobs() {
    long lost = 0;
    for (JobRecord job : callers.getJobsList()) {
      if (job.getJob().isEmpty() || !isLost(job)) {
        continue;
      }
      lost++;
      findings.add(
          "event=lost_job tag=%s job=%s phase=%s"
              .formatted(job.getTag(), job.getJob(), job.getPhase()));
    }
    return lost;
  }

  private boolean isLost(JobRecord job) {
    if (!CallRecorder.isTerminal(job.getPhase())) {
      return true;
    }
    if (job.getPhase() != JobPhase.JOB_SUCCEEDED) {
      return false;
    }
    JobCount count = jobs.get(job.getJob());
    return count == null || count.getSucceeded() == 0;
  }

  private long countDoubledOrders() {
    long doubled = 0;
    for (CallRecord call : callers.getCallsList()) {
      RequestCount count = requests.get(call.getTag());
      if (call.getKind() != CallKind.CALL_ORDER || count == null || count.getBegun() <= 1) {
        continue;
      }
      doubled++;
      findings.add(
          "event=doubled_order tag=%s begun=%d outcome=%s"
              .formatted(call.getTag(), count.getBegun(), call.getOutcome()));
    }
    return doubled;
  }

  private long countDoubledJobs() {
    Map<String, Boolean> idempotentByTag = new HashMap<>();
    for (JobRecord job : callers.getJobsList()) {
      idempotentByTag.put(job.getTag(), job.getIdempotent());
    }
    long doubled = 0;
    for (JobCount job : jobs.values()) {
      boolean idempotent = idempotentByTag.getOrDefault(job.getTag(), false);
      if (idempotent || job.getBegun() <= 1) {
        continue;
      }
      doubled++;
      findings.add(
          "event=doubled_job tag=%s job=%s begun=%d"
              .formatted(job.getTag(), job.getJob(), job.getBegun()));
    }
    return doubled;
  }

  private long countCapExcess() {
    long excess = 0;
    for (Map.Entry<String, TeamSection> team : fleet.getTeamsMap().entrySet()) {
      int peak = peaks.getOrDefault(team.getKey(), 0);
      int cap = team.getValue().getCap();
      if (peak <= cap) {
        continue;
      }
      excess += peak - cap;
      findings.add("event=cap_excess team=%s cap=%d peak=%d".formatted(team.getKey(), cap, peak));
    }
    return excess;
  }

  private long countFalseNotRun() {
    long falseNotRun = 0;
    for (CallRecord call : callers.getCallsList()) {
      RequestCount count = requests.get(call.getTag());
      if (call.getOutcome() != Outcome.OUTCOME_NOT_RUN || count == null) {
        continue;
      }
      falseNotRun++;
      findings.add(
          "event=false_not_run tag=%s begun=%d status=%d"
              .formatted(call.getTag(), count.getBegun(), call.getStatus()));
    }
    return falseNotRun;
  }
}
