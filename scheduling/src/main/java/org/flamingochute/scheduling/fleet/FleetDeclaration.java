package org.flamingochute.scheduling.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TeamId;

/** One version of the operators' declaration: queues, pools, teams and request limits. */
public final class FleetDeclaration {
  private final long version;
  private final int maximumBodyBytes;
  private final Map<QueueId, Queue> queues = new HashMap<>();
  private final Map<String, List<Queue>> queuesByHost = new HashMap<>();
  private final Map<PoolId, Pool> pools = new HashMap<>();
  private final Map<TeamId, Team> teams = new HashMap<>();
  private final Map<String, TeamId> teamsByKey = new HashMap<>();

  private FleetDeclaration(Builder builder) {
    version = builder.version;
    maximumBodyBytes = builder.maximumBodyBytes;
    for (Queue queue : builder.queues) {
      queues.put(queue.id(), queue);
      queuesByHost.computeIfAbsent(queue.host(), host -> new ArrayList<>()).add(queue);
    }
    for (Pool pool : builder.pools) {
      pools.put(pool.id(), pool);
    }
    for (Team team : builder.teams) {
      teams.put(team.id(), team);
      team.keys().forEach(key -> teamsByKey.put(key, team.id()));
    }
  }

  /** Returns a builder of an empty declaration. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the version number; later versions have higher numbers. */
  public long version() {
    return version;
  }

  /** Returns the maximum size of a request body in bytes. */
  public int maximumBodyBytes() {
    return maximumBodyBytes;
  }

  /** Returns the queue of the host with the longest path prefix that matches the path. */
  public Optional<Queue> queueFor(String host, String path) {
    Queue best = null;
    for (Queue queue : queuesByHost.getOrDefault(host, List.of())) {
      boolean isLonger = best == null || queue.pathPrefix().length() > best.pathPrefix().length();
      if (isLonger && path.startsWith(queue.pathPrefix())) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns a queue by its name. */
  public Optional<Queue> queue(QueueId id) {
    return Optional.ofNullable(queues.get(id));
  }

  /** Returns the team of an API key. */
  public Optional<TeamId> teamOfKey(String key) {
    return Optional.ofNullable(teamsByKey.get(key));
  }

  /** Returns a team by its name. */
  public Optional<Team> team(TeamId id) {
    return Optional.ofNullable(teams.get(id));
  }

  /** Returns a pool by its name. */
  public Optional<Pool> pool(PoolId id) {
    return Optional.ofNullable(pools.get(id));
  }

  /** Returns all pools. */
  public Iterable<Pool> pools() {
    return pools.values();
  }

  /** Returns all teams. */
  public Iterable<Team> teams() {
    return teams.values();
  }

  /** Builds a declaration. */
  public static final class Builder {
    private static final int DEFAULT_BODY_BYTES = 262_144;

    private long version;
    private int maximumBodyBytes = DEFAULT_BODY_BYTES;
    private final List<Queue> queues = new ArrayList<>();
    private final List<Pool> pools = new ArrayList<>();
    private final List<Team> teams = new ArrayList<>();

    private Builder() {}

    /** Sets the version number. */
    public Builder version(long value) {
      version = value;
      return this;
    }

    /** Sets the maximum size of a request body in bytes. */
    public Builder maximumBodyBytes(int value) {
      maximumBodyBytes = value;
      return this;
    }

    /** Adds a queue. */
    public Builder queue(Queue queue) {
      queues.add(queue);
      return this;
    }

    /** Adds a pool. */
    public Builder pool(Pool pool) {
      pools.add(pool);
      return this;
    }

    /** Adds a team. */
    public Builder team(Team team) {
      teams.add(team);
      return this;
    }

    /** Returns the declaration. */
    public FleetDeclaration build() {
      return new FleetDeclaration(this);
    }
  }
}
