package org.flamingochute.engine;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.TimingSection;

/**
 * Stops an entry without interrupting work in flight.
 *
 * <p>The stop is announced first: for the notice time the entry reports that it is not ready but
 * still accepts new work, so that the load balancer routes callers elsewhere before any is refused.
 * Maintenance is no longer coordinated from the announcement on. After the notice time, new work is
 * refused as not run. Accepted requests are still served. Tokens are transferred to peers as they
 * become free.
 *
 * <p>When no work is in flight and no token is held, the entry leaves the members and stops its
 * periodic tasks. An entry without a reachable peer that could receive its tokens does not wait for
 * their transfer. If the time limit of the stop passes first, the periodic tasks are stopped as
 * well, but the entry leaves the members only if no work is in flight.
 */
final class GracefulStop {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EntryNodeComponents components;
  private final Timers timers;
  private final long limitMilliseconds;
  private final Duration noticeTime;
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private boolean started;
  private long startMilliseconds;

  /**
   * Creates the graceful stop of a node.
   *
   * @param timing provides the time limit of the stop, which counts from its announcement, and the
   *     notice time
   */
  GracefulStop(EntryNodeComponents components, Timers timers, TimingSection timing) {
    this.components = components;
    this.timers = timers;
    this.limitMilliseconds = timing.getStopMilliseconds();
    this.noticeTime = Duration.ofMillis(timing.getStopNoticeMilliseconds());
  }

  /** Begins the stop; further calls return the same future. */
  CompletableFuture<Void> begin() {
    synchronized (this) {
      if (started) {
        return stopped;
      }
      started = true;
    }
    startMilliseconds = timers.monotonicMilliseconds();
    logger.atInfo().log("event=stop_begun");
    components.gate.announceStop();
    components.maintenance.stop();
    if (noticeTime.isZero()) {
      refuseNewWork();
      return stopped;
    }
    timers.schedule(noticeTime, this::refuseNewWork);
    return stopped;
  }

  private void refuseNewWork() {
    logger.atInfo().log("event=stop_taking_no_work");
    components.gate.refuseNewWork();
    check();
  }

  private void check() {
    boolean isWorkDone = components.requests.isIdle() && components.placers.isIdle();
    boolean areTokensTransferred = components.broker.transferFreeTokens();
    boolean hasNoTransferTarget = !components.broker.hasTransferTarget();
    boolean isLimitExceeded =
        timers.monotonicMilliseconds() - startMilliseconds > limitMilliseconds;
    if ((isWorkDone && (areTokensTransferred || hasNoTransferTarget)) || isLimitExceeded) {
      leave(isWorkDone);
      return;
    }
    timers.schedule(CHECK_INTERVAL, this::check);
  }

  /**
   * Leaves the members, unless work is in flight: its tokens must not be reallocated before that
   * work has ended.
   */
  private void leave(boolean isWorkDone) {
    logger.atInfo().log("event=stop_leaving work_done=%b", isWorkDone);
    components.placers.stop();
    if (!isWorkDone) {
      finish();
      return;
    }
    components.membership.leave().thenAccept(left -> finish());
  }

  private void finish() {
    components.listObserver.stop();
    components.peers.stop();
    components.follower.stop();
    logger.atInfo().log("event=stop_done");
    stopped.complete(null);
  }
}
