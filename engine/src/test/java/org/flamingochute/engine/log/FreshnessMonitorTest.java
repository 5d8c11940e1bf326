package org.flamingochute.engine.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.fake.VirtualTimers;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.MemberJoined;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Freshness by the age of the proofs, with a limit of 3000 ms, at 10000 ms. */
class FreshnessMonitorTest {

  private static final long NOW_MILLISECONDS = 10_000;
  private static final long LIMIT_MILLISECONDS = 3_000;

  private static AgreedState stateWithMembers(int count) {
    AgreedState agreed = AgreedState.empty();
    for (int i = 0; i < count; i++) {
      LogRecord record =
          LogRecord.newBuilder()
              .setRecordId("r-" + i)
              .setFormatVersion(AgreedState.FORMAT_VERSION)
              .setMemberJoined(
                  MemberJoined.newBuilder().setIncarnation("m-" + i).setInstance("entry-" + i))
              .build();
      agreed.apply(i, i, record.toByteArray());
    }
    return agreed;
  }

  @ParameterizedTest
  @CsvSource({
    "1, 7000, 0, 0, true",
    "1, 6999, 0, 0, false",
    "1, -1, 0, 0, false",
    "2, -1, 1, 0, true",
    "2, -1, 0, 0, false",
    "3, -1, 1, 0, false",
    "3, -1, 2, 0, true",
    "4, -1, 1, 0, false",
    "4, -1, 2, 0, true",
    "4, -1, 2, 1, false",
    "4, 9000, 0, 1, true",
    "9, -1, 4, 0, false",
    "9, -1, 5, 0, true",
  })
  void freshnessFollowsTheProofs(int members, long logEnd, int heard, int ahead, boolean fresh) {
    AgreedState agreed = stateWithMembers(members);
    VirtualTimers clock = new VirtualTimers();
    FreshnessMonitor monitor =
        new FreshnessMonitor(agreed, clock, new Incarnation("m-0"), LIMIT_MILLISECONDS);
    clock.advance(NOW_MILLISECONDS);
    if (logEnd >= 0) {
      monitor.recordLogEndRead(logEnd);
    }
    for (int i = 1; i <= heard; i++) {
      monitor.recordGossip(new Incarnation("m-" + i), NOW_MILLISECONDS, agreed.offset());
    }
    for (int i = 1; i <= ahead; i++) {
      monitor.recordGossip(new Incarnation("m-" + i), NOW_MILLISECONDS, agreed.offset() + 1);
    }
    assertThat(monitor.isFresh(), is(fresh));
  }

  @ParameterizedTest
  @CsvSource({"9000, true", "6000, false", "-1, false"})
  void gossipCountsFromTheTimeThatItProves(long proven, boolean heard) {
    VirtualTimers clock = new VirtualTimers();
    FreshnessMonitor monitor =
        new FreshnessMonitor(
            stateWithMembers(2), clock, new Incarnation("m-0"), LIMIT_MILLISECONDS);
    clock.advance(NOW_MILLISECONDS);
    long milliseconds = proven < 0 ? FreshnessMonitor.NEVER : proven;
    monitor.recordGossip(new Incarnation("m-1"), milliseconds, 1);
    assertThat(monitor.isReachable(new Incarnation("m-1")), is(heard));
  }
}
