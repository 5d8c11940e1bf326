package org.flamingochute.engine.peer;

import org.flamingochute.decision.identity.TeamId;

/** Is told that other entries started requests of a team. */
@FunctionalInterface
public interface RemoteStartListener {

  /** Another entry started requests of the team. */
  void started(TeamId team, long requests);
}
