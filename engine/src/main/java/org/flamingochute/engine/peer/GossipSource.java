package org.flamingochute.engine.peer;

import java.util.Map;
import org.flamingochute.schema.EndpointUsage;
import org.flamingochute.schema.TeamUsage;

/** Gives what this entry reports of itself. */
public interface GossipSource {

  /** Tells whether this entry has begun to stop. */
  boolean isStopping();

  /** Returns the usage of each team, by its name. */
  Map<String, TeamUsage> teams();

  /** Returns the usage of each endpoint, by its name. */
  Map<String, EndpointUsage> endpoints();
}
