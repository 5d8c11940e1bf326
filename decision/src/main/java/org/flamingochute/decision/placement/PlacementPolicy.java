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
   * Decides the next steps, best first. The input must reflect all steps that were taken before.
   *
   * @param nowMilliseconds the present time
   */
  List<PlacementDecision> decide(PlacementInput input, long nowMilliseconds);

  /**
   * Takes into account how much a job really used.
   *
   * @param peak the highest usage that was observed
   */
  default void observeUsage(TeamId team, ResourceVector declared, ResourceVector peak) {}

  /** Takes into account how an attempt ended. Attempts that never began are not reported. */
  default void observeEnd(JobId job, InstanceId worker, boolean succeeded, long nowMilliseconds) {}
}
