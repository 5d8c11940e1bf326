package org.flamingochute.decision.maintenance;

import java.util.List;

/** Plans moves of instances between pools. Implementations need not be thread-safe. */
public interface MovePlanner {

  /** Returns the moves to start now. Called at regular intervals with the current demand. */
  List<InstanceMove> nextMoves(MoveInput input, long nowMilliseconds);
}
