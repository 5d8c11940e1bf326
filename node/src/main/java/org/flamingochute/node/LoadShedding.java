package org.flamingochute.node;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.scheduling.admission.JobAdmission;
import org.flamingochute.scheduling.admission.JobRefusal;
import org.flamingochute.scheduling.fleet.Team;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.QueuedJob;

/**
 * The refusal of jobs in excess of a team's rate while their pool is overloaded. It exists only if
 * the settings enable it. Used on one event loop.
 */
public final class LoadShedding {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final NodeClock clock;
  private final FleetState state;
  private final JobAdmission admission = new JobAdmission();

  /** Creates the load shedding of a node, which counts the jobs that are added to its state. */
  public LoadShedding(NodeClock clock, FleetState state) {
    this.clock = clock;
    this.state = state;
    state.setNewJobListener(
        job ->
            admission.onJobStored(
                teamOf(job), job.getAcceptedMilliseconds(), clock.wallClockMilliseconds()));
  }

  private Optional<Team> teamOf(QueuedJob job) {
    if (job.getOrganisation().isEmpty()) {
      return Optional.empty();
    }
    TeamId team = new TeamId(job.getOrganisation());
    return state.declaration().flatMap(declaration -> declaration.team(team));
  }

  /**
   * Applies a load of the pools that was read.
   *
   * @param maximumAgeMilliseconds time within which the load was certainly written
   */
  public void onLoadRead(FleetLoad load, long maximumAgeMilliseconds) {
    admission.onLoadRead(load, clock.steadyMilliseconds() - maximumAgeMilliseconds);
  }

  /** Forgets the load of the pools, because it may be old or the leader has changed. */
  public void forgetLoad() {
    admission.forgetLoad();
  }

  /**
   * Returns whether a job that this node does not know may have to be refused, so that all stored
   * jobs must be read before the decision.
   */
  public boolean mayRefuse(JobId id, QueuedJob job) {
    return admission.mayRefuse(id, job, teamOf(job), clock.steadyMilliseconds());
  }

  /**
   * Returns the refusal of a job that is not stored, after all stored jobs have been read. To be
   * called only if no append of this process may store the job.
   */
  public Optional<JobRefusal> refusalOf(JobId id, QueuedJob job) {
    Optional<JobRefusal> refusal =
        admission.refusalOf(
            id, job, teamOf(job), clock.steadyMilliseconds(), clock.wallClockMilliseconds());
    refusal.ifPresent(refused -> log(id, job, refused));
    return refusal;
  }

  private static void log(JobId id, QueuedJob job, JobRefusal refusal) {
    logger.atInfo().log(
        "event=job_refused_for_load job=%s queue=%s team=%s pool=%s wait_ms=%d load_age_ms=%d"
            + " expected_ms=%d objective_ms=%d retry_after_s=%d",
        id,
        job.getQueue(),
        job.getOrganisation(),
        job.getPolicy().getService(),
        refusal.predictedWaitMilliseconds(),
        refusal.loadAgeMilliseconds(),
        refusal.expectedMilliseconds(),
        refusal.objectiveMilliseconds(),
        refusal.retryAfterSeconds());
  }
}
