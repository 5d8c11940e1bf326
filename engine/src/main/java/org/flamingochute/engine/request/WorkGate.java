package org.flamingochute.engine.request;

import java.util.Optional;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.FreshnessMonitor;

/**
 * Decides whether this entry may take or start work at all.
 *
 * <p>Membership is checked together with freshness: an incarnation that has folded its own removal
 * is never a member again, so it starts nothing more.
 */
public final class WorkGate {

  private final AgreedView agreed;
  private final FreshnessMonitor freshness;
  private final Incarnation self;
  private volatile boolean announced;
  private volatile boolean stopping;

  /** Creates a gate for one incarnation. */
  public WorkGate(AgreedView agreed, FreshnessMonitor freshness, Incarnation self) {
    this.agreed = agreed;
    this.freshness = freshness;
    this.self = self;
  }

  /** Announces the stop: the entry is no longer ready, but still takes the work that comes. */
  public void announceStop() {
    announced = true;
  }

  /** Refuses new work from now on; work that was taken before may still be started. */
  public void stopTakingWork() {
    stopping = true;
  }

  /** Tells whether this entry has begun to stop. */
  public boolean isStopping() {
    return announced || stopping;
  }

  /** Tells whether callers should be sent to this entry. */
  public boolean isReady() {
    return !isStopping() && refusalOfNewWork().isEmpty();
  }

  /** Returns why new work is refused now, or nothing. */
  public Optional<ErrorReport> refusalOfNewWork() {
    if (stopping) {
      return Optional.of(ErrorReport.of(ErrorCode.ENTRY_STOPPING));
    }
    return refusalOfStart();
  }

  /** Returns why work that was taken may not be started now, or nothing. */
  public Optional<ErrorReport> refusalOfStart() {
    if (!agreed.isMember(self)) {
      return Optional.of(ErrorReport.of(ErrorCode.NOT_A_MEMBER, self));
    }
    if (!freshness.isFresh()) {
      return Optional.of(ErrorReport.of(ErrorCode.ENTRY_NOT_FRESH, freshness.limitMilliseconds()));
    }
    return Optional.empty();
  }
}
