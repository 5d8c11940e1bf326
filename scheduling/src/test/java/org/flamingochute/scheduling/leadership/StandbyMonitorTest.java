package org.flamingochute.scheduling.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against standby instances that follow all records although there is a leader, and against
 * a fleet that stays without a leader because only standby instances are left.
 */
class StandbyMonitorTest {
  private static final long CLAIM_DELAY = 1_600;
  private static final long ACTIVATION =
      LeaderMonitor.RENEWAL_TIMEOUT_MILLISECONDS + CLAIM_DELAY / 2;
  private static final long INTERVAL = 400;

  private final StandbyMonitor monitor = new StandbyMonitor(CLAIM_DELAY);

  @Test
  void leaderThatAppendsKeepsTheInstanceOnStandby() {
    for (long now = 0; now < 20_000; now += INTERVAL) {
      monitor.onEndRead(now, now);
      assertThat("at " + now, monitor.mustActivate(now), is(false));
    }
  }

  @ParameterizedTest
  @CsvSource({"1600, false", "2000, true", "2400, true"})
  void silentLeaderActivatesTheInstance(long silence, boolean activates) {
    for (long now = 0; now <= silence; now += INTERVAL) {
      monitor.onEndRead(7, now);
    }
    assertThat(monitor.mustActivate(silence), is(activates));
    assertThat(monitor.movedAt(), is(0L));
  }

  @Test
  void timeWithoutTheStoreDoesNotCount() {
    monitor.onEndRead(7, 0);
    long back = 10_000;
    monitor.onEndRead(7, back);
    assertThat(monitor.mustActivate(back), is(false));
    assertThat(monitor.mustActivate(back + ACTIVATION), is(false));
    for (long now = back; now <= back + ACTIVATION; now += INTERVAL) {
      monitor.onEndRead(7, now);
    }
    assertThat(monitor.mustActivate(back + ACTIVATION), is(true));
  }

  @Test
  void topicThatDoesNotExistYetCountsAsSilent() {
    for (long now = 0; now <= ACTIVATION; now += INTERVAL) {
      monitor.onStoreReached(now);
    }
    assertThat(monitor.mustActivate(ACTIVATION), is(true));
  }
}
