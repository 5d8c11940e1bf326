package org.flamingochute.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.engine.fake.Cluster;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.StoredRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against processes that cannot load the state from snapshots or peers, and against lost
 * records and patches during start-up, catch-up and lost replies.
 */
class StartUpTest {

  private static long newestSnapshotOffset(Cluster cluster) {
    long newest = -1;
    for (StoredRecord stored : cluster.log.records()) {
      try {
        LogRecord record = LogRecord.parseFrom(stored.getRecord());
        if (record.hasSnapshotPart()) {
          newest = Math.max(newest, record.getSnapshotPart().getCoveredOffset());
        }
      } catch (InvalidProtocolBufferException malformed) {
        throw new IllegalStateException(malformed);
      }
    }
    return newest;
  }

  private static void writeManyRecords(Cluster cluster) {
    for (int i = 0; i < 60; i++) {
      cluster.patch(0, "team red share " + (i + 1));
      cluster.clock.advance(300);
    }
  }

  @Test
  void newProcessStartsFromSnapshotAfterOldRecordsExpired() {
    Cluster cluster = Cluster.startWithSnapshots(2, 20);
    writeManyRecords(cluster);
    long snapshot = newestSnapshotOffset(cluster);
    assertThat(snapshot, greaterThan(20L));
    cluster.log.expireBefore(snapshot + 1);
    final FleetDescription expected = cluster.entry(0).node.agreed().description();
    cluster.kill(0);
    cluster.kill(1);
    cluster.addEntry("entry-9", "entry-9-a");
    cluster.clock.advance(5_000);
    assertThat(cluster.entry(2).node.isReady(), is(true));
    assertThat(cluster.entry(2).node.agreed().description(), is(expected));
  }

  @Test
  void pausedEntryCatchesUpAfterRecordsExpired() {
    Cluster cluster = Cluster.startWithSnapshots(3, 20);
    cluster.entry(2).process.pause();
    writeManyRecords(cluster);
    cluster.log.expireBefore(newestSnapshotOffset(cluster) + 1);
    cluster.entry(2).process.resume();
    cluster.clock.advance(5_000);
    assertThat(
        cluster.entry(2).node.agreed().description(),
        is(cluster.entry(0).node.agreed().description()));
    CompletableFuture<CallerOutcome> future = cluster.send(2, Cluster.BLUE_KEY, "/blue/x");
    cluster.clock.advance(3_000);
    assertThat(Cluster.result(future), instanceOf(CallerOutcome.Answered.class));
  }

  @Test
  void newProcessReceivesStateFromPeersDuringLogOutage() {
    Cluster cluster = Cluster.start(2);
    cluster.log.setDown(true);
    cluster.clock.advance(1_000);
    cluster.addEntry("entry-9", "entry-9-a");
    cluster.clock.advance(5_000);
    assertThat(
        cluster.entry(2).node.agreed().offset(), is(cluster.entry(0).node.agreed().offset()));
    assertThat(cluster.entry(2).node.isReady(), is(false));
    cluster.log.setDown(false);
    cluster.clock.advance(10_000);
    assertThat(cluster.entry(2).node.isReady(), is(true));
  }

  @Test
  void newProcessIsNotRemovedByListingOfItsPredecessor() {
    Cluster cluster = Cluster.start(2);
    cluster.addEntry("entry-9", "entry-9-a");
    cluster.clock.advance(2_000);
    cluster.kill(2);
    cluster.platform.freezeListing();
    cluster.clock.advance(500);
    cluster.addEntry("entry-9", "entry-9-b");
    cluster.clock.advance(10_000);
    assertThat(cluster.entry(3).node.isReady(), is(true));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 8})
  void lostRepliesLoseNoRecord(int lost) {
    Cluster cluster = Cluster.start(2);
    final long version = cluster.entry(0).node.agreed().description().getVersion();
    cluster.log.loseReplies(lost);
    cluster.patch(0, "team red share 7");
    cluster.clock.advance(10_000);
    assertThat(cluster.entry(1).node.agreed().description().getVersion(), is(version + 1));
  }

  @Test
  void onlyOneOfTwoPatchesOnTheSameVersionIsAccepted() {
    Cluster cluster = Cluster.start(2);
    cluster.patch(0, "team red share 3");
    cluster.patch(1, "team red share 4");
    cluster.clock.advance(1_000);
    assertThat(cluster.entry(0).node.agreed().description().getVersion(), is(2L));
    assertThat(
        cluster.entry(0).node.agreed().description(),
        is(cluster.entry(1).node.agreed().description()));
    assertThat(cluster.entry(0).node.agreed().audit().size(), is(3));
  }
}
