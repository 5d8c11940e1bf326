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
import org.flamingochute.engine.membership.MemberRank;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.PlacerClaimed;
import org.flamingochute.schema.PlacerImage;

/**
 * Claims the epoch of a pool whose placer is gone, silent or stopping.
 *
 * <p>Each pool falls to one of the members that are heard, so that pools spread evenly and usually
 * one member claims. Two claims at once are settled by the log: each names the epoch that it
 * replaces, and only the first takes effect. An entry claims nothing before it has run for the time
 * of a lease, since it could not have heard anyone yet.
 */
public final class PlacerCoordinator {

  private static final long APPEND_MILLISECONDS = 5_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final FreshnessMonitor freshness;
  private final MemberRank rank;
  private final Predicate<Incarnation> stopping;
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
   * @param stopping tells whether a member has begun to stop
   * @param leaseMilliseconds silence after which a placer is replaced
   */
  public PlacerCoordinator(
      AgreedView agreed,
      FreshnessMonitor freshness,
      MemberRank rank,
      Predicate<Incarnation> stopping,
      WorkGate gate,
      LogAppender appender,
      Timers timers,
      Incarnation self,
      long leaseMilliseconds,
      MetricRegistry metrics) {
    this.agreed = agreed;
    this.freshness = freshness;
    this.rank = rank;
    this.stopping = stopping;
    this.gate = gate;
    this.appender = appender;
    this.timers = timers;
    this.self = self;
    this.leaseMilliseconds = leaseMilliseconds;
    this.createdMilliseconds = timers.monotonicMilliseconds();
    this.metrics = metrics;
  }

  /** Returns the epoch under which this entry is the placer of the pool, or nothing. */
  public Optional<Long> ownEpoch(PoolId pool) {
    return agreed
        .placer(pool)
        .filter(placer -> placer.getIncarnation().equals(self.value()))
        .map(PlacerImage::getEpoch);
  }

  /** Claims the pool when its placer is to be replaced and it falls to this entry. */
  public void claimIfVacant(PoolId pool) {
    if (!isVacant(pool) || gate.newWorkRefusal().isPresent()) {
      return;
    }
    if (!rank.isFirstFor(pool.value()) || !beginClaim(pool)) {
      return;
    }
    long replaced = agreed.placer(pool).map(PlacerImage::getEpoch).orElse(0L);
    PlacerClaimed claim =
        PlacerClaimed.newBuilder()
            .setPool(pool.value())
            .setIncarnation(self.value())
            .setReplacedEpoch(replaced)
            .build();
    metrics.counter("placers.claims").inc();
    logger.atInfo().log("event=placer_claim pool=%s replaced_epoch=%d", pool, replaced);
    appender
        .append(LogRecord.newBuilder().setPlacerClaimed(claim), APPEND_MILLISECONDS)
        .thenAccept(outcome -> endClaim(pool));
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
    if (!agreed.isMember(incarnation) || stopping.test(incarnation)) {
      return true;
    }
    boolean ranLongEnough =
        timers.monotonicMilliseconds() - createdMilliseconds > leaseMilliseconds;
    return ranLongEnough && !freshness.isHeardWithin(incarnation, leaseMilliseconds);
  }

  private synchronized boolean beginClaim(PoolId pool) {
    return claiming.add(pool);
  }

  private synchronized void endClaim(PoolId pool) {
    claiming.remove(pool);
  }
}
