package org.flamingochute.node.leadership;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.flamingochute.node.ClockReading;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.ScheduleWriter;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.ProducerPosition;
import org.flamingochute.platform.wire.StoreAppendOutcome;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.scheduling.leadership.LeaderMonitor;
import org.flamingochute.schema.scheduling.LeaderTerm;

/**
 * One attempt to claim the leadership.
 *
 * <p>A claim is one append of a term with a higher epoch, on the condition that the schedule topic
 * ends at the last record that this instance has read. When it succeeds, this instance has read
 * every record of its predecessors, and the store accepts no more of them. But some jobs in these
 * records may not have been read yet, since new jobs have a topic of their own. Their runs would be
 * treated as unknown runs and stopped, and ends of their runs would be acknowledged without a
 * record. So the topic of new jobs is read to its end before the claim counts as won. Runs on one
 * event loop.
 */
final class LeadershipClaim {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CALL_TIMEOUT_MILLISECONDS = 800;
  private static final int MAXIMUM_APPEND_ATTEMPTS = 4;

  /** Delay before a failed read of new jobs, or a failed release, is repeated. */
  private static final long RETRY_DELAY_MILLISECONDS = 30;

  private final LeadershipDependencies dependencies;
  private final LeaderMonitor monitor;
  private final StoreFollower intakeFollower;
  private final LeaderTerm term;
  private final Listener listener;
  private final ClockReading claimedAt;
  private boolean abandoned;

  /** Receives the outcome of the claim. */
  interface Listener {

    /**
     * This instance holds the term, and everything that a scheduler needs has been read.
     *
     * @param claimedAt time at which the claim was first sent
     */
    void onWon(LeaderTerm term, ClockReading claimedAt);

    /**
     * The claim has failed. The term may be in the store nevertheless, if the claim was abandoned
     * or its append remained unanswered.
     */
    void onLost();
  }

  LeadershipClaim(
      LeadershipDependencies dependencies,
      LeaderMonitor monitor,
      StoreFollower intakeFollower,
      LeaderTerm term,
      Listener listener) {
    this.dependencies = dependencies;
    this.monitor = monitor;
    this.intakeFollower = intakeFollower;
    this.term = term;
    this.listener = listener;
    this.claimedAt = dependencies.clock().read();
  }

  /** Starts the claim, on the condition that the schedule topic ends at the given offset. */
  void start(long scheduleEnd) {
    logger.atInfo().log(
        "event=leadership_claim epoch=%d previous=%s end=%d",
        term.getEpoch(), monitor.newestTerm().getInstance(), scheduleEnd);
    append(scheduleEnd, MAXIMUM_APPEND_ATTEMPTS);
  }

  /**
   * Makes the claim fail, at the latest after the next read of new jobs. An append in progress
   * continues, and a term that it writes is released, so that a successor need not wait until its
   * renewal is overdue. Only a term whose append gets no response may remain.
   */
  void abandon() {
    abandoned = true;
  }

  private void append(long scheduleEnd, int attemptsLeft) {
    dependencies
        .store()
        .append(
            StoreTopic.SCHEDULE,
            List.of(new KeyedValue(ScheduleKeys.LEADER_TERM, term.toByteArray())),
            Optional.of(new ProducerPosition(ScheduleWriter.PRODUCER, term.getEpoch(), 0)),
            OptionalLong.of(scheduleEnd),
            CALL_TIMEOUT_MILLISECONDS)
        .thenAccept(result -> onAppendResult(result, scheduleEnd, attemptsLeft));
  }

  private void onAppendResult(StoreAppendOutcome result, long scheduleEnd, int attemptsLeft) {
    if (result instanceof StoreAppendOutcome.Appended) {
      readNewJobs();
      return;
    }
    if (result instanceof StoreAppendOutcome.Unknown && attemptsLeft > 1) {
      append(scheduleEnd, attemptsLeft - 1);
      return;
    }
    fail(result.toString());
  }

  private void fail(String result) {
    logger.atInfo().log(
        "event=leadership_claim_failed epoch=%d result=\"%s\"", term.getEpoch(), result);
    listener.onLost();
  }

  private void readNewJobs() {
    intakeFollower.refresh().thenAccept(this::onNewJobsRead);
  }

  private void onNewJobsRead(boolean complete) {
    if (monitor.newestTerm().getEpoch() > term.getEpoch()) {
      fail("term of " + monitor.newestTerm().getInstance());
      return;
    }
    if (abandoned) {
      release(MAXIMUM_APPEND_ATTEMPTS);
      return;
    }
    if (complete) {
      listener.onWon(term, claimedAt);
      return;
    }
    dependencies.loop().delay(RETRY_DELAY_MILLISECONDS, this::readNewJobs);
  }

  /** Releases the term, which has granted no leases. It may still mention those of earlier ones. */
  private void release(int attemptsLeft) {
    LeaderTerm released =
        term.toBuilder().setRenewal(term.getRenewal() + 1).setReleased(true).build();
    dependencies
        .store()
        .append(
            StoreTopic.SCHEDULE,
            List.of(new KeyedValue(ScheduleKeys.LEADER_TERM, released.toByteArray())),
            Optional.of(new ProducerPosition(ScheduleWriter.PRODUCER, term.getEpoch(), 1)),
            OptionalLong.empty(),
            CALL_TIMEOUT_MILLISECONDS)
        .thenAccept(result -> onReleaseResult(result, attemptsLeft));
  }

  private void onReleaseResult(StoreAppendOutcome result, int attemptsLeft) {
    boolean mayRepeat =
        result instanceof StoreAppendOutcome.Unknown
            || result instanceof StoreAppendOutcome.Refused;
    if (mayRepeat && attemptsLeft > 1) {
      dependencies.loop().delay(RETRY_DELAY_MILLISECONDS, () -> release(attemptsLeft - 1));
      return;
    }
    fail("abandoned, release " + result);
  }
}
