package org.flamingochute.decision.maintenance;

import java.util.List;
import org.flamingochute.decision.identity.InstanceId;

/** Plans which instances a maintenance wave stops next. */
public interface WavePlanner {

  /**
   * Returns instances that may all be stopped now, at once. The list is empty when the guards allow
   * no further stop, when the wave is paused or when nothing is left to do.
   */
  List<InstanceId> nextStops(WaveState state);
}
