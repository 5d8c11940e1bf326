package org.flamingochute.scheduling.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.schema.scheduling.LeaderTerm;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaderMonitorTest {
  private static final long CLAIM_DELAY_MILLISECONDS = 100;
  private static final LeaderCandidate CANDIDATE = new LeaderCandidate("me", 7);

  private final LeaderMonitor monitor = new LeaderMonitor(CLAIM_DELAY_MILLISECONDS, CANDIDATE);

  private static LeaderTerm term(long epoch, boolean released) {
    return LeaderTerm.newBuilder().setEpoch(epoch).setReleased(released).build();
  }

  /** Records a successful read every 300 ms until the given time. */
  private void readUntil(long from, long until) {
    for (long now = from; now <= until; now += 300) {
      monitor.onReadSucceeded(now);
    }
  }

  @ParameterizedTest
  @CsvSource({"1200, false", "1400, true"})
  void leaderWithoutRenewalIsReplaced(long millisecondsSinceRenewal, boolean canClaim) {
    monitor.observe(term(1, false), 0);
    readUntil(0, millisecondsSinceRenewal);
    assertThat(monitor.canClaim(millisecondsSinceRenewal), is(canClaim));
  }

  @Test
  void releasedLeadershipIsClaimedAfterTheClaimDelay() {
    monitor.observe(term(1, true), 0);
    readUntil(0, 150);
    assertThat(monitor.canClaim(50), is(false));
    assertThat(monitor.canClaim(150), is(true));
  }

  @Test
  void timeWithoutStoreAnswersDoesNotCount() {
    monitor.observe(term(1, false), 0);
    readUntil(0, 300);
    assertThat(monitor.canClaim(5_000), is(false));
    monitor.onReadSucceeded(5_000);
    assertThat(monitor.canClaim(5_100), is(false));
    readUntil(5_000, 6_500);
    assertThat(monitor.canClaim(6_500), is(true));
  }

  @Test
  void everyRecordOfTheLeaderCountsAsRenewal() {
    monitor.observe(term(1, false), 0);
    readUntil(0, 1_200);
    monitor.onLeaderRecord(1_250);
    assertThat(monitor.canClaim(1_400), is(false));
  }

  @ParameterizedTest
  @CsvSource({
    "other/1, false, false, UNKNOWN",
    "other/1, true, false, OVER",
    "other/1, true, true, UNKNOWN",
    "me/6, false, false, OVER",
    "me/6, false, true, UNKNOWN"
  })
  void predecessorIsOverOnceItHasEndedAndEarlierLeasesHaveExpired(
      String holder, boolean released, boolean earlierLeases, PredecessorState expected) {
    monitor.observe(
        term(3, released).toBuilder().setInstance(holder).setEarlierLeases(earlierLeases).build(),
        50);
    assertThat(monitor.predecessor(), is(expected));
  }

  @Test
  void firstLeaderHasNoPredecessor() {
    assertThat(monitor.predecessor(), is(PredecessorState.OVER));
  }

  /** The candidate may read its own term before its claim is answered. */
  @Test
  void ownTermDoesNotHideThePredecessor() {
    monitor.observe(term(3, false).toBuilder().setInstance("other/1").build(), 50);
    monitor.observe(term(4, false).toBuilder().setInstance("me/7").build(), 2_000);
    monitor.onLeaderRecord(2_100);
    assertThat(monitor.predecessor(), is(PredecessorState.UNKNOWN));
    assertThat(monitor.predecessorLastRecordAt(), is(50L));
  }

  @ParameterizedTest
  @CsvSource({"0", "1048577", "5242887"})
  void epochsIncreaseAndDifferBetweenCandidates(long previous) {
    long one = LeaderEpoch.next(previous, 11);
    long other = LeaderEpoch.next(previous, 12);
    assertThat(one, greaterThan(previous));
    assertThat(one, is(not(other)));
    assertThat(LeaderEpoch.next(one, 12), greaterThan(one));
  }
}
