package org.flamingochute.decision.maintenance;

/**
 * Settings of a {@link SteadyMovePlanner}.
 *
 * @param demandMilliseconds time constant over which demand is averaged
 * @param holdMilliseconds time for which a lack or a surplus must last before it moves an instance
 * @param costMilliseconds time that an instance must be of use in its new pool to be worth a move;
 *     a lack below {@code moveCost / hold} of an instance is not worth one
 * @param headroomInstances instances beyond the averaged demand that a lender keeps
 * @param maximumMoves moves under way at once
 */
public record MoveSettings(
    long demandMilliseconds,
    long holdMilliseconds,
    long costMilliseconds,
    double headroomInstances,
    int maximumMoves) {

  /** Returns the default settings. */
  public static MoveSettings defaults() {
    return new MoveSettings(60_000, 60_000, 30_000, 0.5, 2);
  }
}
