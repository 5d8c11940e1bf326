package org.flamingochute.decision.maintenance;

/**
 * Settings of a {@link SteadyMovePlanner}.
 *
 * @param demandMilliseconds time constant of the averaged demand
 * @param holdMilliseconds time for which a deficit or a surplus must last to cause a move
 * @param costMilliseconds time for which a deficit of one instance must last to justify a move; a
 *     deficit of half an instance must last twice as long
 * @param headroomInstances number of instances above its averaged demand that a lender retains
 * @param maximumMoves maximum number of moves in progress at once; other planned stops of instances
 *     of the pools count as moves
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
