package org.flamingochute.decision.dispatch;

import java.util.List;

/**
 * Computes which part of the slots of a service an entry may always use.
 *
 * <p>Each team that has requests waiting anywhere is due its share of the slots, and each entry is
 * due that share in proportion to the team's requests that wait there. So the entries whose
 * requests are due more get more slots, however many requests of teams with a small share wait at
 * the others. The part is the mean of what is due and the equal part, so that a change of load
 * finds some room at once.
 *
 * <p>Example: 4 entries, teams of shares 3 and 1; all waiting requests of the first wait here and
 * half of those of the second: due is (3 * 1 + 1 * 0.5) / 4 = 0.875, the part is 0.5625.
 */
public final class SlotPart {

  private SlotPart() {}

  /**
   * Returns the part, between 0 and 1.
   *
   * @param teams the teams with requests for the service
   * @param entries number of entries
   */
  public static double of(List<TeamWaiting> teams, int entries) {
    double due = 0;
    double shares = 0;
    for (TeamWaiting team : teams) {
      int total = Math.max(team.totalWaiting(), team.ownWaiting());
      if (total > 0) {
        shares += team.share();
        due += team.share() * (double) team.ownWaiting() / total;
      }
    }
    double equalPart = 1.0 / Math.max(1, entries);
    return shares == 0 ? equalPart : (equalPart + due / shares) / 2;
  }
}
