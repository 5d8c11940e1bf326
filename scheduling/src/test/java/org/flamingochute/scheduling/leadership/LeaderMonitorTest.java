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
  private static final long DELAY = 100;
  private static final LeaderCandidate CANDIDATE = new LeaderCandidate("me", 7);

  private final LeaderMonitor watch = new LeaderMonitor(DELAY, CANDIDATE);

  private static LeaderTerm term(long epoch, boolean released) {
    return LeaderTerm.newBuilder().setEpoch(epoch).setReleased(released).build();
  }

  /** Reads every 300 ms until the given time. */
  private void read(long from, long until) {
    for (long now = from; now <= until; now += 300) {
      watch.onReadSucceeded(now);
    }
  }

  @ParameterizedTest
  @CsvSource({"1200, false", "1400, true"})
  void silentHolderIsSucceeded(long silence, boolean claims) {
    watch.observe(term(1, false), 0);
    read(0, silence);
    assertThat(watch.canClaim(silence), is(claims));
  }

  @Test
  void releasedOfficeIsClaimedAfterTheOwnDelay() {
    watch.observe(term(1, true), 0);
    read(0, 150);
    assertThat(watch.canClaim(50), is(false));
    assertThat(watch.canClaim(150), is(true));
  }

  @Test
  void silenceDoesNotCountWhileTheStoreDoesNotAnswer() {
    watch.observe(term(1, false), 0);
    read(0, 300);
    assertThat(watch.canClaim(5_000), is(false));
    watch.onReadSucceeded(5_000);
    assertThat(watch.canClaim(5_100), is(false));
    read(5_000, 6_500);
    assertThat(watch.canClaim(6_500), is(true));
  }

  @Test
  void everyRecordOfTheHolderRenews() {
    watch.observe(term(1, false), 0);
    read(0, 1_200);
    watch.onHolderRecord(1_250);
    assertThat(watch.canClaim(1_400), is(false));
  }

  @ParameterizedTest
  @CsvSource({
    "other/1, false, false, UNKNOWN",
    "other/1, true, false, OVER",
    "other/1, true, true, UNKNOWN",
    "me/6, false, false, OVER",
    "me/6, false, true, UNKNOWN"
  })
  void predecessorIsOverOnceItAndItsOwnPredecessorAre(
      String holder, boolean released, boolean earlierLeases, PredecessorState expected) {
    watch.observe(
        term(3, released).toBuilder().setInstance(holder).setEarlierLeases(earlierLeases).build(),
        50);
    assertThat(watch.predecessor(), is(expected));
  }

  @Test
  void firstLeaderHasNoPredecessor() {
    assertThat(watch.predecessor(), is(PredecessorState.OVER));
  }

  /** The own term may be read before the claim is answered. */
  @Test
  void ownTermDoesNotHideThePredecessor() {
    watch.observe(term(3, false).toBuilder().setInstance("other/1").build(), 50);
    watch.observe(term(4, false).toBuilder().setInstance("me/7").build(), 2_000);
    watch.onHolderRecord(2_100);
    assertThat(watch.predecessor(), is(PredecessorState.UNKNOWN));
    assertThat(watch.predecessorLastSeenAt(), is(50L));
  }

  @ParameterizedTest
  @CsvSource({"0", "1048577", "5242887"})
  void epochsRiseAndDifferBetweenCandidates(long previous) {
    long one = LeaderEpoch.next(previous, 11);
    long other = LeaderEpoch.next(previous, 12);
    assertThat(one, greaterThan(previous));
    assertThat(one, is(not(other)));
    assertThat(LeaderEpoch.next(one, 12), greaterThan(one));
  }
}
