package org.flamingochute.decision.dispatch;

import java.util.List;

/**
 * Computes an entry's fraction of the slots of a service, from which {@link
 * LeastLoadedOfTwoChooser} derives the slots that the entry may always use.
 *
 * <p>Each team with waiting requests at any entry is entitled to slots in proportion to its share,
 * and the slots of a team are divided over the entries in proportion to its waiting requests. So an
 * entry where requests of teams with a large share wait gets more slots, no matter how many
 * requests of teams with a small share wait at the others. The result is the mean of this fraction
 * and the equal fraction, so that each entry has some slots at once when the load changes.
 *
 * <p>Example: 4 entries, teams with shares 3 and 1; all waiting requests of the first team wait
 * here and half of those of the second: the entitled fraction is (3 * 1 + 1 * 0.5) / 4 = 0.875, and
 * the result is (0.25 + 0.875) / 2 = 0.5625.
 */
public final class SlotFraction {

  private SlotFraction() {}

  /**
   * Returns the fraction, between 0 and 1.
   *
   * @param teams the teams with requests for the service
   * @param entries number of entries
   */
  public static double of(List<TeamWaitingCount> teams, int entries) {
    double entitled = 0;
    double totalShares = 0;
    for (TeamWaitingCount team : teams) {
      int total = Math.max(team.totalWaiting(), team.ownWaiting());
      if (total > 0) {
        totalShares += team.share();
        entitled += team.share() * (double) team.ownWaiting() / total;
      }
    }
    double equalFraction = 1.0 / Math.max(1, entries);
    return totalShares == 0 ? equalFraction : (equalFraction + entitled / totalShares) / 2;
  }
}
