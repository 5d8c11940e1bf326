package org.flamingochute.engine.peer;

import org.flamingochute.decision.identity.TeamId;

/** Is notified of requests of a team that other entries started. */
@FunctionalInterface
public interface RemoteStartListener {

  /** Is called after another entry reported that it started requests of the team. */
  void requestsStarted(TeamId team, long requests);
}
