package org.flamingochute.decision.placement;

import java.util.List;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;

/**
 * Decides which waiting job starts on which worker. An implementation belongs to the placer of one
 * pool and is used by one thread at a time.
 */
public interface PlacementPolicy {

  /**
   * Returns the next decisions in order of preference. The input must reflect all decisions that
   * were carried out before.
   *
   * @param nowMilliseconds the current time
   */
  List<PlacementDecision> decide(PlacementInput input, long nowMilliseconds);

  /**
   * Records the observed resource usage of a job.
   *
   * @param peak the highest observed usage
   */
  default void observeUsage(TeamId team, ResourceVector declared, ResourceVector peak) {}

  /** Records the result of an attempt. Attempts that never began are not reported. */
  default void observeAttemptEnd(
      JobId job, InstanceId worker, boolean succeeded, long nowMilliseconds) {}
}
