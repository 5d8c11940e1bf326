package org.flamingochute.scheduling.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.scheduling.fleet.Team;

/**
 * Detects jobs that a team submits in excess of its rate, with a token bucket for each team.
 *
 * <p>A team's weight is its guaranteed rate in jobs per second. A team that submits many times its
 * rate would fill every pool, so its excess jobs wait behind the guaranteed jobs of other teams.
 */
final class TeamRates {
  /** Burst capacity: a team may submit the jobs of this many seconds at once. */
  private static final double BURST_SECONDS = 1.0;

  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private static final class Bucket {
    private double tokens;
    private long filledAt;

    private Bucket(double tokens, long filledAt) {
      this.tokens = tokens;
      this.filledAt = filledAt;
    }
  }

  private final Map<TeamId, Bucket> buckets = new HashMap<>();

  /**
   * Counts a job accepted at the given wall-clock time; returns whether it exceeds the team's rate.
   */
  boolean recordAndCheckExcess(Optional<Team> team, long acceptedAt) {
    if (team.isEmpty() || team.get().weight() <= 0) {
      return false;
    }
    double rate = team.get().weight();
    double capacity = Math.max(1, rate * BURST_SECONDS);
    Bucket bucket =
        buckets.computeIfAbsent(team.get().id(), id -> new Bucket(capacity, acceptedAt));
    double elapsedSeconds = Math.max(0, acceptedAt - bucket.filledAt) / MILLISECONDS_PER_SECOND;
    bucket.tokens = Math.min(capacity, bucket.tokens + elapsedSeconds * rate);
    bucket.filledAt = Math.max(bucket.filledAt, acceptedAt);
    if (bucket.tokens < 1) {
      return true;
    }
    bucket.tokens -= 1;
    return false;
  }
}
