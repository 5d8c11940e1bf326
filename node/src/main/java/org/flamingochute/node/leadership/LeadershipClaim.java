package org.flamingochute.node.leadership;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.ScheduleWriter;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.ProducerPosition;
import org.flamingochute.platform.wire.StoreAppend;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.scheduling.leadership.LeaderWatch;
import org.flamingochute.schema.scheduling.LeaderTerm;

/**
 * One claim of the leadership.
 *
 * <p>It is one append of a term with a higher epoch, on the condition that the topic of the
 * schedule ends where this instance's knowledge ends. When it succeeds, this instance knows every
 * record of its predecessors, and the store accepts no more of them. But of the jobs in these
 * records some may not have been read yet, since new jobs have a topic of their own: their runs
 * would look like strays, and ends of them would be acknowledged without a record. So the new jobs
 * are read to their end before the claim counts as won. Runs on one event loop.
 */
final class LeadershipClaim {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CALL_TIMEOUT_MILLISECONDS = 800;
  private static final int CALL_TRIES = 4;

  /** Pause after a read of new jobs that failed. */
  private static final long LEARN_RETRY_MILLISECONDS = 30;

  private final LeadershipParts parts;
  private final LeaderWatch watch;
  private final StoreFollower newJobs;
  private final LeaderTerm term;
  private final Listener listener;
  private boolean abandoned;

  /** Learns how the claim ends. */
  interface Listener {

    /** The term is this instance's, and everything that a scheduler needs is known. */
    void won(LeaderTerm term);

    /** The term is not this instance's, or is no more. */
    void lost();
  }

  LeadershipClaim(
      LeadershipParts parts,
      LeaderWatch watch,
      StoreFollower newJobs,
      LeaderTerm term,
      Listener listener) {
    this.parts = parts;
    this.watch = watch;
    this.newJobs = newJobs;
    this.term = term;
    this.listener = listener;
  }

  /** Makes the claim, on the condition that the schedule ends at the given offset. */
  void make(long end) {
    logger.atInfo().log(
        "event=leadership_claim epoch=%d previous=%s end=%d",
        term.getEpoch(), watch.newest().getInstance(), end);
    append(end, CALL_TRIES);
  }

  /** Gives the claim up; it is lost at its next step. */
  void abandon() {
    abandoned = true;
  }

  private void append(long end, int tries) {
    parts
        .store()
        .append(
            StoreTopic.SCHEDULE,
            List.of(new KeyedValue(ScheduleKeys.LEADER_TERM, term.toByteArray())),
            Optional.of(new ProducerPosition(ScheduleWriter.PRODUCER, term.getEpoch(), 0)),
            OptionalLong.of(end),
            CALL_TIMEOUT_MILLISECONDS)
        .thenAccept(result -> answered(result, end, tries));
  }

  private void answered(StoreAppend result, long end, int tries) {
    if (result instanceof StoreAppend.Appended) {
      learnJobs();
      return;
    }
    if (result instanceof StoreAppend.Unknown && tries > 1) {
      append(end, tries - 1);
      return;
    }
    fail(result.toString());
  }

  private void fail(String result) {
    logger.atInfo().log(
        "event=leadership_claim_failed epoch=%d result=\"%s\"", term.getEpoch(), result);
    listener.lost();
  }

  private void learnJobs() {
    newJobs.refresh().thenAccept(this::learnt);
  }

  private void learnt(boolean complete) {
    if (abandoned) {
      fail("abandoned");
      return;
    }
    if (watch.newest().getEpoch() > term.getEpoch()) {
      fail("term of " + watch.newest().getInstance());
      return;
    }
    if (complete) {
      listener.won(term);
      return;
    }
    parts.loop().delay(LEARN_RETRY_MILLISECONDS, this::learnJobs);
  }
}
