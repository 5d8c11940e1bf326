package org.flamingochute.engine.peer;

import java.util.Map;
import org.flamingochute.schema.EndpointUsage;
import org.flamingochute.schema.TeamUsage;

/** Provides the values that this entry reports by gossip. */
public interface GossipSource {

  /** Returns whether this entry has begun to stop. */
  boolean isStopping();

  /** Returns the usage of each team, by team name. */
  Map<String, TeamUsage> teams();

  /** Returns the usage of each endpoint, by endpoint name. */
  Map<String, EndpointUsage> endpoints();
}
