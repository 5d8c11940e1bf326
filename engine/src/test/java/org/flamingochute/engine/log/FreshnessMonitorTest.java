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

/** Tests freshness by the ages of its proofs, at time 10000 ms with a limit of 3000 ms. */
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
  void freshnessDependsOnTheProofs(
      int members,
      long logEndReadMilliseconds,
      int reachablePeers,
      int peersAhead,
      boolean expected) {
    AgreedState agreed = stateWithMembers(members);
    VirtualTimers clock = new VirtualTimers();
    FreshnessMonitor monitor =
        new FreshnessMonitor(agreed, clock, new Incarnation("m-0"), LIMIT_MILLISECONDS);
    clock.advance(NOW_MILLISECONDS);
    if (logEndReadMilliseconds >= 0) {
      monitor.recordLogEndRead(logEndReadMilliseconds);
    }
    for (int i = 1; i <= reachablePeers; i++) {
      monitor.recordGossip(new Incarnation("m-" + i), NOW_MILLISECONDS, agreed.offset());
    }
    for (int i = 1; i <= peersAhead; i++) {
      monitor.recordGossip(new Incarnation("m-" + i), NOW_MILLISECONDS, agreed.offset() + 1);
    }
    assertThat(monitor.isFresh(), is(expected));
  }

  @ParameterizedTest
  @CsvSource({"9000, true", "6000, false", "-1, false"})
  void ageOfGossipCountsFromItsProvenTime(long provenMilliseconds, boolean expected) {
    VirtualTimers clock = new VirtualTimers();
    FreshnessMonitor monitor =
        new FreshnessMonitor(
            stateWithMembers(2), clock, new Incarnation("m-0"), LIMIT_MILLISECONDS);
    clock.advance(NOW_MILLISECONDS);
    long milliseconds = provenMilliseconds < 0 ? FreshnessMonitor.NEVER : provenMilliseconds;
    monitor.recordGossip(new Incarnation("m-1"), milliseconds, 1);
    assertThat(monitor.isReachable(new Incarnation("m-1")), is(expected));
  }
}
