package org.flamingochute.decision.maintenance;

import java.util.List;
import org.flamingochute.decision.identity.InstanceId;

/** Plans the next stops of a maintenance wave. */
public interface WavePlanner {

  /**
   * Returns instances that may all be stopped now, at the same time. The list is empty if the
   * limits allow no further stop, if the wave is paused, or if all instances are finished.
   */
  List<InstanceId> nextStops(WaveState state);
}
