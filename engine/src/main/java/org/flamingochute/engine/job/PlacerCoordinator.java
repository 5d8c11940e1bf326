package org.flamingochute.engine.job;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.engine.log.FreshnessMonitor;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.membership.MemberSelector;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.PlacerClaimed;
import org.flamingochute.schema.PlacerImage;

/**
 * Claims the placer epoch of a pool that has no placer, or whose placer is no longer a member, is
 * stopping or is unreachable.
 *
 * <p>Each pool is assigned to one of the reachable members, so that pools are spread evenly and
 * usually only one member claims a pool. The log decides between concurrent claims: each names the
 * epoch that it replaces, and only the first takes effect. An entry does not regard a placer as
 * unreachable before it has itself run for the duration of a lease, since it may not have received
 * the placer's gossip yet.
 */
public final class PlacerCoordinator {

  private static final long APPEND_TIMEOUT_MILLISECONDS = 5_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final FreshnessMonitor freshness;
  private final MemberSelector selector;
  private final Predicate<Incarnation> isStopping;
  private final WorkGate gate;
  private final LogAppender appender;
  private final Timers timers;
  private final Incarnation self;
  private final long leaseMilliseconds;
  private final long createdMilliseconds;
  private final MetricRegistry metrics;
  private final Set<PoolId> claiming = new HashSet<>();

  /**
   * Creates a coordinator.
   *
   * @param isStopping returns whether a member has begun to stop
   * @param leaseMilliseconds time without gossip after which a placer is replaced
   */
  public PlacerCoordinator(
      AgreedView agreed,
      FreshnessMonitor freshness,
      MemberSelector selector,
      Predicate<Incarnation> isStopping,
      WorkGate gate,
      LogAppender appender,
      Timers timers,
      Incarnation self,
      long leaseMilliseconds,
      MetricRegistry metrics) {
    this.agreed = agreed;
    this.freshness = freshness;
    this.selector = selector;
    this.isStopping = isStopping;
    this.gate = gate;
    this.appender = appender;
    this.timers = timers;
    this.self = self;
    this.leaseMilliseconds = leaseMilliseconds;
    this.createdMilliseconds = timers.monotonicMilliseconds();
    this.metrics = metrics;
  }

  /** Returns the epoch under which this entry is the placer of the pool, or empty if it is not. */
  public Optional<Long> ownEpoch(PoolId pool) {
    return agreed
        .placer(pool)
        .filter(placer -> placer.getIncarnation().equals(self.value()))
        .map(PlacerImage::getEpoch);
  }

  /** Claims the pool if its placer has to be replaced and this entry is selected for it. */
  public void claimIfVacant(PoolId pool) {
    if (!isVacant(pool) || gate.newWorkRefusal().isPresent()) {
      return;
    }
    if (!selector.isSelectedFor(pool.value()) || !beginClaim(pool)) {
      return;
    }
    long replacedEpoch = agreed.placer(pool).map(PlacerImage::getEpoch).orElse(0L);
    PlacerClaimed claim =
        PlacerClaimed.newBuilder()
            .setPool(pool.value())
            .setIncarnation(self.value())
            .setReplacedEpoch(replacedEpoch)
            .build();
    metrics.counter("placers.claims").inc();
    logger.atInfo().log("event=placer_claim pool=%s replaced_epoch=%d", pool, replacedEpoch);
    appender
        .append(LogRecord.newBuilder().setPlacerClaimed(claim), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> finishClaim(pool));
  }

  private boolean isVacant(PoolId pool) {
    Optional<PlacerImage> placer = agreed.placer(pool);
    if (placer.isEmpty()) {
      return true;
    }
    Incarnation incarnation = new Incarnation(placer.get().getIncarnation());
    if (incarnation.equals(self)) {
      return false;
    }
    if (!agreed.isMember(incarnation) || isStopping.test(incarnation)) {
      return true;
    }
    boolean hasRunForLease =
        timers.monotonicMilliseconds() - createdMilliseconds > leaseMilliseconds;
    return hasRunForLease && !freshness.wasReachableWithin(incarnation, leaseMilliseconds);
  }

  private synchronized boolean beginClaim(PoolId pool) {
    return claiming.add(pool);
  }

  private synchronized void finishClaim(PoolId pool) {
    claiming.remove(pool);
  }
}
