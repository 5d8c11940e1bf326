package org.flamingochute.scheduling.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.scheduling.fleet.Team;

/**
 * Tells which jobs a team hands in beyond its rate, by a token bucket for each team.
 *
 * <p>A team's weight is the number of jobs a second that it may expect to be served. One that sends
 * many times as much would fill every pool; its excess waits behind what others are entitled to.
 */
final class TeamRates {
  /** Time over which a team may spend its rate at once. */
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

  /** Counts a job that was accepted at the given time of day; tells whether it is in excess. */
  boolean isExcess(Optional<Team> team, long acceptedAt) {
    if (team.isEmpty() || team.get().weight() <= 0) {
      return false;
    }
    double rate = team.get().weight();
    double capacity = Math.max(1, rate * BURST_SECONDS);
    Bucket bucket =
        buckets.computeIfAbsent(team.get().id(), id -> new Bucket(capacity, acceptedAt));
    double elapsed = Math.max(0, acceptedAt - bucket.filledAt) / MILLISECONDS_PER_SECOND;
    bucket.tokens = Math.min(capacity, bucket.tokens + elapsed * rate);
    bucket.filledAt = Math.max(bucket.filledAt, acceptedAt);
    if (bucket.tokens < 1) {
      return true;
    }
    bucket.tokens -= 1;
    return false;
  }
}
