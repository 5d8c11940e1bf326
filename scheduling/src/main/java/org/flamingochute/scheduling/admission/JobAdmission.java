package org.flamingochute.scheduling.admission;

import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.scheduling.core.TeamRates;
import org.flamingochute.scheduling.fleet.Team;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;

/**
 * Decides whether a node refuses a job because its team exceeds its rate and its pool cannot
 * complete the job in time.
 *
 * <p>In doubt a job is accepted: if the load of the pools is not known or too old, after the start
 * of the node, and if the job has no objective. Times named {@code now} are milliseconds of a
 * steady clock, {@code wallClockMilliseconds} are milliseconds since 1970. Not thread-safe; used by
 * one thread.
 */
public final class JobAdmission {
  /** Age from which the load of the pools is not used. */
  private static final long MAXIMUM_LOAD_AGE_MILLISECONDS = 1_500;

  /** A job that ends later than this many times its objective is of no use to its caller. */
  private static final long USEFUL_OBJECTIVES = 3;

  /**
   * Time after its acceptance from which a job that is read is not counted: the burst capacity of a
   * team is refilled within this time.
   */
  private static final long COUNTED_MILLISECONDS = 1_000;

  private final TeamRates teamRates = new TeamRates();
  private Optional<LoadReading> newestLoad = Optional.empty();

  /** The load of the pools, and a time after which it was written. */
  private record LoadReading(FleetLoad load, long writtenAfter) {}

  /** Counts a job that was stored by any node, when it is read for the first time. */
  public void onJobStored(Optional<Team> team, long acceptedAt, long wallClockMilliseconds) {
    if (wallClockMilliseconds - acceptedAt <= COUNTED_MILLISECONDS) {
      // The clock of the node that accepted it may be ahead; nothing would be refilled until then.
      teamRates.recordAndCheckExcess(team, Math.min(acceptedAt, wallClockMilliseconds));
    }
  }

  /** Applies a load that the leader has written after the given time. */
  public void onLoadRead(FleetLoad load, long writtenAfter) {
    newestLoad = Optional.of(new LoadReading(load, writtenAfter));
  }

  /** Forgets the load, because it may be old or the leader has changed. */
  public void forgetLoad() {
    newestLoad = Optional.empty();
  }

  /**
   * Returns whether the job would be refused if its team still exceeds its rate once all stored
   * jobs have been read. The jobs of a team that is within its rate need no such read.
   */
  public boolean mayRefuse(JobId id, QueuedJob job, Optional<Team> team, long now) {
    return teamRates.isUsedUp(team) && refusalForLoad(id, job, now).isPresent();
  }

  /**
   * Returns the refusal of a job, or empty if it is to be accepted. Valid only if all jobs in the
   * store have been read, and the job itself is not among them.
   */
  public Optional<JobRefusal> refusalOf(
      JobId id, QueuedJob job, Optional<Team> team, long now, long wallClockMilliseconds) {
    return teamRates.isExcess(team, wallClockMilliseconds)
        ? refusalForLoad(id, job, now)
        : Optional.empty();
  }

  private Optional<JobRefusal> refusalForLoad(JobId id, QueuedJob job, long now) {
    if (newestLoad.isEmpty() || !canBeRefused(job)) {
      return Optional.empty();
    }
    final long age = now - newestLoad.get().writtenAfter();
    final QueuePolicy policy = job.getPolicy();
    final long wait = newestLoad.get().load().getWaitMillisecondsOrDefault(policy.getService(), 0);
    final long duration = criticalPathMilliseconds(job);
    final long objective =
        Math.round(policy.getSlackFactor() * duration) + policy.getObjectiveMilliseconds();
    // Not with integers, since a caller's estimate may be any number.
    boolean isLate =
        objective > 0 && wait + (double) duration > USEFUL_OBJECTIVES * (double) objective;
    if (age > MAXIMUM_LOAD_AGE_MILLISECONDS || wait <= 0 || !isLate) {
      return Optional.empty();
    }
    return Optional.of(
        new JobRefusal(wait, age, duration, objective, JobRefusal.retryAfterSeconds(id, wait)));
  }

  /**
   * Returns whether a job can be refused for load. A repeated job is needed later, a long-running
   * one is placed first, and fillers do not wait for processor capacity.
   */
  private static boolean canBeRefused(QueuedJob job) {
    if (job.getRepetitions() > 0) {
      return false;
    }
    for (QueuedStep step : job.getStepsList()) {
      if (step.getLongRunning() || step.getFiller()) {
        return false;
      }
    }
    return true;
  }

  /** Relies on steps depending only on steps with lower numbers. */
  private static long criticalPathMilliseconds(QueuedJob job) {
    long[] endMilliseconds = new long[job.getStepsCount()];
    long longest = 0;
    for (int step = 0; step < endMilliseconds.length; step++) {
      QueuedStep definition = job.getSteps(step);
      long beginMilliseconds = 0;
      for (int dependency : definition.getDependenciesList()) {
        beginMilliseconds = Math.max(beginMilliseconds, endMilliseconds[dependency]);
      }
      endMilliseconds[step] = beginMilliseconds + definition.getEstimateMilliseconds();
      longest = Math.max(longest, endMilliseconds[step]);
    }
    return longest;
  }
}
