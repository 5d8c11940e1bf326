package org.flamingochute.node.leadership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreAppendOutcome;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.scheduling.job.UndefinedCancellations;

/**
 * Deletes old cancellations of jobs that were never stored, while this instance leads.
 *
 * <p>A deletion is appended on the condition that the topic ends where this instance has read it.
 * So no definition stands between the cancellation and its deletion: every instance that reads the
 * topic, as records or as pages, agrees on whether a job is cancelled. A deletion that was refused,
 * or whose result is unknown, is tried again as long as the cancellation is in the state. Runs on
 * one event loop.
 */
final class CancellationExpiry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CALL_TIMEOUT_MILLISECONDS = 1_500;
  private static final long INTERVAL_MILLISECONDS = 500;
  private static final int MAXIMUM_DELETIONS_PER_CALL = 256;

  private final NodeClock clock;
  private final StoreClient store;
  private final UndefinedCancellations cancellations;
  private final long retentionMilliseconds;
  private boolean inCall;
  private long nextCheckAt = Long.MIN_VALUE;

  /**
   * Creates an instance that deletes nothing yet.
   *
   * @param retentionMilliseconds time since the last read of a cancellation from which it may be
   *     deleted; much longer than an append may be executed late
   */
  CancellationExpiry(
      NodeClock clock,
      StoreClient store,
      UndefinedCancellations cancellations,
      long retentionMilliseconds) {
    this.clock = clock;
    this.store = store;
    this.cancellations = cancellations;
    this.retentionMilliseconds = retentionMilliseconds;
  }

  /**
   * Deletes cancellations that are old enough, if a check is due.
   *
   * @param intake follower of the topic that holds them
   * @return completes with the number of cancellations that were certainly deleted
   */
  CompletableFuture<Integer> deleteExpired(StoreFollower intake) {
    long now = clock.steadyMilliseconds();
    if (inCall || now < nextCheckAt || !intake.isLoaded()) {
      return CompletableFuture.completedFuture(0);
    }
    nextCheckAt = now + INTERVAL_MILLISECONDS;
    List<JobId> expired =
        cancellations.olderThan(retentionMilliseconds, MAXIMUM_DELETIONS_PER_CALL, now);
    if (expired.isEmpty()) {
      return CompletableFuture.completedFuture(0);
    }
    List<KeyedValue> deletions = new ArrayList<>();
    for (JobId job : expired) {
      deletions.add(KeyedValue.tombstone(ScheduleKeys.cancellation(job)));
    }
    inCall = true;
    return store
        .append(
            StoreTopic.INTAKE,
            deletions,
            Optional.empty(),
            OptionalLong.of(intake.nextOffset()),
            CALL_TIMEOUT_MILLISECONDS)
        .thenApply(result -> onResult(expired.size(), result));
  }

  private int onResult(int count, StoreAppendOutcome result) {
    inCall = false;
    if (result instanceof StoreAppendOutcome.Appended) {
      logger.atInfo().log("event=cancellations_deleted count=%d", count);
      return count;
    }
    logger.atInfo().log(
        "event=cancellation_deletion_repeated count=%d result=\"%s\"", count, result);
    return 0;
  }
}
