package org.flamingochute.engine.request;

import java.util.Optional;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.FreshnessMonitor;

/**
 * Decides whether this entry may accept or start work.
 *
 * <p>Membership is checked together with freshness: an incarnation that has applied its own removal
 * never becomes a member again and starts no more work.
 */
public final class WorkGate {

  private final AgreedView agreed;
  private final FreshnessMonitor freshness;
  private final Incarnation self;
  private volatile boolean stopAnnounced;
  private volatile boolean refusingNewWork;

  /** Creates a gate for one incarnation. */
  public WorkGate(AgreedView agreed, FreshnessMonitor freshness, Incarnation self) {
    this.agreed = agreed;
    this.freshness = freshness;
    this.self = self;
  }

  /** Announces the stop: the entry reports that it is not ready, but still accepts new work. */
  public void announceStop() {
    stopAnnounced = true;
  }

  /** Refuses new work from now on; work accepted earlier may still be started. */
  public void refuseNewWork() {
    refusingNewWork = true;
  }

  /** Returns whether this entry has begun to stop. */
  public boolean isStopping() {
    return stopAnnounced || refusingNewWork;
  }

  /** Returns whether callers should be routed to this entry. */
  public boolean isReady() {
    return !isStopping() && newWorkRefusal().isEmpty();
  }

  /** Returns why new work is refused now, or empty if it is accepted. */
  public Optional<ErrorReport> newWorkRefusal() {
    if (refusingNewWork) {
      return Optional.of(ErrorReport.of(ErrorCode.ENTRY_STOPPING));
    }
    return startRefusal();
  }

  /** Returns why accepted work may not be started now, or empty if it may. */
  public Optional<ErrorReport> startRefusal() {
    if (!agreed.isMember(self)) {
      return Optional.of(ErrorReport.of(ErrorCode.NOT_A_MEMBER, self));
    }
    if (!freshness.isFresh()) {
      return Optional.of(ErrorReport.of(ErrorCode.ENTRY_NOT_FRESH, freshness.limitMilliseconds()));
    }
    return Optional.empty();
  }
}
