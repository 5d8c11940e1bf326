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
public final class TeamRates {
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
  public boolean recordAndCheckExcess(Optional<Team> team, long acceptedAt) {
    if (!isLimited(team)) {
      return false;
    }
    Bucket bucket =
        buckets.computeIfAbsent(
            team.get().id(), id -> new Bucket(capacityOf(team.get()), acceptedAt));
    bucket.tokens = tokensAt(bucket, team.get(), acceptedAt);
    bucket.filledAt = Math.max(bucket.filledAt, acceptedAt);
    if (bucket.tokens < 1) {
      return true;
    }
    bucket.tokens -= 1;
    return false;
  }

  /**
   * Returns whether a job accepted at the given wall-clock time would exceed the team's rate,
   * without counting it.
   */
  public boolean isExcess(Optional<Team> team, long acceptedAt) {
    Bucket bucket = isLimited(team) ? buckets.get(team.get().id()) : null;
    return bucket != null && tokensAt(bucket, team.get(), acceptedAt) < 1;
  }

  /** Returns whether the team had used up its rate when its last job was counted. */
  public boolean isUsedUp(Optional<Team> team) {
    Bucket bucket = isLimited(team) ? buckets.get(team.get().id()) : null;
    return bucket != null && bucket.tokens < 1;
  }

  private static boolean isLimited(Optional<Team> team) {
    return team.isPresent() && team.get().weight() > 0;
  }

  private static double capacityOf(Team team) {
    return Math.max(1, team.weight() * BURST_SECONDS);
  }

  private static double tokensAt(Bucket bucket, Team team, long time) {
    double elapsedSeconds = Math.max(0, time - bucket.filledAt) / MILLISECONDS_PER_SECOND;
    return Math.min(capacityOf(team), bucket.tokens + elapsedSeconds * team.weight());
  }
}
