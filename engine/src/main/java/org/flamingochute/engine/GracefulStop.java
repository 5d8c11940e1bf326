package org.flamingochute.engine;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.TimingSection;

/**
 * Stops an entry without cutting work in flight.
 *
 * <p>The stop is announced first: for the notice time the entry reports that it is not ready and
 * still takes the work that comes, so that the balancer sends callers elsewhere before one is
 * refused. Then new work is refused as not run. Requests that were taken are still served. Tokens
 * go to peers as they come free. When nothing is left in flight and no token is held, or the time
 * for the stop is over, the entry leaves the members and ends its timers. The last member has no
 * one to give its tokens to, and does not wait for that.
 */
final class GracefulStop {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EntryNodeParts parts;
  private final Timers timers;
  private final long limitMilliseconds;
  private final Duration notice;
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private boolean begun;
  private long begunMilliseconds;

  /**
   * Creates the stop of a node.
   *
   * @param timing longest wait for work in flight, and the notice time
   */
  GracefulStop(EntryNodeParts parts, Timers timers, TimingSection timing) {
    this.parts = parts;
    this.timers = timers;
    this.limitMilliseconds = timing.getStopMilliseconds();
    this.notice = Duration.ofMillis(timing.getStopNoticeMilliseconds());
  }

  /** Begins the stop; a second call returns the same future. */
  CompletableFuture<Void> begin() {
    synchronized (this) {
      if (begun) {
        return stopped;
      }
      begun = true;
    }
    begunMilliseconds = timers.monotonicMilliseconds();
    logger.atInfo().log("event=stop_begun");
    parts.gate.announceStop();
    parts.maintenance.stop();
    if (notice.isZero()) {
      stopTakingWork();
      return stopped;
    }
    timers.schedule(notice, this::stopTakingWork);
    return stopped;
  }

  private void stopTakingWork() {
    logger.atInfo().log("event=stop_taking_no_work");
    parts.gate.refuseNewWork();
    check();
  }

  private void check() {
    boolean workDone = parts.requests.isIdle() && parts.placers.isIdle();
    boolean tokensGone = parts.broker.transferFreeTokens();
    boolean alone = !parts.broker.hasTransferTarget();
    boolean late = timers.monotonicMilliseconds() - begunMilliseconds > limitMilliseconds;
    if ((workDone && (tokensGone || alone)) || late) {
      leave(workDone);
      return;
    }
    timers.schedule(CHECK_INTERVAL, this::check);
  }

  /**
   * An entry with work in flight does not leave, so that its tokens are held back until that ended.
   */
  private void leave(boolean workDone) {
    logger.atInfo().log("event=stop_leaving work_done=%b", workDone);
    parts.placers.stop();
    if (!workDone) {
      end();
      return;
    }
    parts.membership.leave().thenAccept(left -> end());
  }

  private void end() {
    parts.listObserver.stop();
    parts.peers.stop();
    parts.follower.stop();
    logger.atInfo().log("event=stop_done");
    stopped.complete(null);
  }
}
