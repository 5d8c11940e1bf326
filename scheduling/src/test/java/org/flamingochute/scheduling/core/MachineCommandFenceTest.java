package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.MachineId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against commands of two leaders for one machine shortly after one another. */
class MachineCommandFenceTest {
  private static final MachineId COMMANDED = new MachineId("commanded");
  private static final MachineId OTHER = new MachineId("other");
  private static final long INHERITED_UNTIL = 5_000;
  private static final long RETENTION = 3_600;

  private final Outbox outbox = new Outbox();
  private final MachineCommandFence fence =
      new MachineCommandFence(INHERITED_UNTIL, RETENTION, outbox);

  private Optional<List<MachineId>> recordedAt(long now) {
    fence.update(now);
    return outbox.takeBatch().machineCommands();
  }

  @ParameterizedTest
  @CsvSource({"4999, false, false", "5000, true, true"})
  void unknownPredecessorHoldsBackAllMachines(long now, boolean commanded, boolean other) {
    assertThat(fence.allowsSome(now), is(other));
    assertThat(fence.allows(COMMANDED, now), is(commanded));
    assertThat(fence.allows(OTHER, now), is(other));
  }

  @ParameterizedTest
  @CsvSource({"0, false", "4999, false", "5000, true"})
  void recordOfPredecessorHoldsBackItsMachinesOnly(long now, boolean commanded) {
    fence.restore(List.of(COMMANDED));
    assertThat(fence.allowsSome(now), is(true));
    assertThat(fence.allowsAll(now), is(commanded));
    assertThat(fence.allows(COMMANDED, now), is(commanded));
    assertThat(fence.allows(OTHER, now), is(true));
  }

  @Test
  void leaderWithUnknownPredecessorRecordsNoListBeforeItsWaitIsOver() {
    assertThat(recordedAt(4_999), is(Optional.empty()));
    assertThat(recordedAt(5_000).orElseThrow(), is(empty()));
  }

  @Test
  void successorOfSuccessorStillKnowsTheFirstCommands() {
    fence.restore(List.of(COMMANDED));
    fence.onCommand(OTHER, 100);
    assertThat(recordedAt(100).orElseThrow(), containsInAnyOrder(COMMANDED, OTHER));
  }

  /** The store was unavailable between the decision and the record of a command. */
  @Test
  void commandIsNotSentOnceItsMachineHasLeftTheRecord() {
    fence.restore(List.of());
    fence.onCommand(COMMANDED, 6_000);
    recordedAt(6_000);
    recordedAt(6_000 + RETENTION);
    assertThat(fence.trySend(COMMANDED, 6_000 + RETENTION), is(false));
  }

  @Test
  void machineStaysInTheRecordForTheRetentionAfterTheCommandIsSent() {
    fence.restore(List.of());
    fence.onCommand(COMMANDED, 6_000);
    recordedAt(6_000);
    final long sentAt = 6_000 + RETENTION - 1;
    assertThat(fence.trySend(COMMANDED, sentAt), is(true));
    assertThat(recordedAt(sentAt + RETENTION - 1), is(Optional.empty()));
    assertThat(recordedAt(sentAt + RETENTION).orElseThrow(), is(empty()));
  }

  @Test
  void machinesLeaveTheRecordOnceTheirCommandsAreLongAgo() {
    fence.restore(List.of());
    fence.onCommand(COMMANDED, 6_000);
    assertThat(recordedAt(6_000).orElseThrow(), contains(COMMANDED));
    assertThat(recordedAt(6_000 + RETENTION - 1), is(Optional.empty()));
    assertThat(recordedAt(6_000 + RETENTION).orElseThrow(), is(empty()));
  }
}
