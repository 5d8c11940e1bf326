package org.flamingochute.decision.maintenance;

/**
 * Settings of a {@link SteadyMovePlanner}.
 *
 * @param demandMilliseconds time constant of the averaged demand
 * @param holdMilliseconds time for which a deficit or a surplus must last to cause a move
 * @param costMilliseconds time for which an instance must be needed in its new pool to justify a
 *     move; a deficit below {@code costMilliseconds / holdMilliseconds} of an instance does not
 * @param headroomInstances number of instances above its averaged demand that a lender keeps
 * @param maximumMoves maximum number of moves in progress at once
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
