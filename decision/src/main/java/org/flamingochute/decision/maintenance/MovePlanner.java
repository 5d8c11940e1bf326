package org.flamingochute.decision.maintenance;

import java.util.List;

/** Plans moves of instances between pools. Implementations belong to one thread. */
public interface MovePlanner {

  /** Returns the moves to begin now. Called at regular times with the present demand. */
  List<InstanceMove> nextMoves(MoveInput input, long nowMilliseconds);
}
