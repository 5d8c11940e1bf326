package org.flamingochute.engine.upkeep;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.escrow.EscrowLedger;
import org.flamingochute.engine.log.FoldListener;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.membership.MemberRank;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.HoldingsStated;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.Tick;

/**
 * Appends the records that escrow epochs need: statements of holdings, and ticks that let the time
 * of the fold pass when nothing else is appended.
 *
 * <p>A statement keeps its record id until it is in the log; a second one would be refused by the
 * fold. A tick is appended by the first member that is heard, when the fold waits for a time that
 * should have come by the time that has passed since the newest record.
 */
public final class EscrowKeeper implements FoldListener {

  private static final long STATEMENT_MILLISECONDS = Duration.ofDays(1).toMillis();
  private static final long TICK_MILLISECONDS = 2_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EscrowLedger ledger;
  private final AgreedView agreed;
  private final MemberRank rank;
  private final LogAppender appender;
  private final Timers timers;
  private final MetricRegistry metrics;
  private final AtomicBoolean ticking = new AtomicBoolean();
  private long newestTime = Long.MIN_VALUE;
  private long newestSeenMilliseconds;

  /** Creates a keeper. */
  public EscrowKeeper(
      EscrowLedger ledger,
      AgreedView agreed,
      MemberRank rank,
      LogAppender appender,
      Timers timers,
      MetricRegistry metrics) {
    this.ledger = ledger;
    this.agreed = agreed;
    this.rank = rank;
    this.appender = appender;
    this.timers = timers;
    this.metrics = metrics;
  }

  @Override
  public void afterFold() {
    Optional<HoldingsStated> statement = ledger.takeStatement();
    if (statement.isEmpty()) {
      return;
    }
    metrics.counter("escrow.statements").inc();
    logger.atInfo().log("event=holdings_stated teams=%d", statement.get().getHoldingsCount());
    appender.append(
        LogRecord.newBuilder().setHoldingsStated(statement.get()), STATEMENT_MILLISECONDS);
  }

  /** Appends what is due by the time that has passed; called at regular times. */
  public void beat() {
    afterFold();
    tickIfDue();
  }

  /** Appends a tick when the fold waits for a time that should have come. */
  private void tickIfDue() {
    long due = agreed.nextDueMilliseconds();
    if (due < 0 || foldTimeNow() <= due || !rank.isFirst()) {
      return;
    }
    if (!ticking.compareAndSet(false, true)) {
      return;
    }
    metrics.counter("escrow.ticks").inc();
    appender
        .append(LogRecord.newBuilder().setTick(Tick.getDefaultInstance()), TICK_MILLISECONDS)
        .thenAccept(outcome -> ticking.set(false));
  }

  /** Estimates the append time of a record that is appended now. */
  private synchronized long foldTimeNow() {
    long now = timers.monotonicMilliseconds();
    if (agreed.timeMilliseconds() != newestTime) {
      newestTime = agreed.timeMilliseconds();
      newestSeenMilliseconds = now;
    }
    return newestTime + (now - newestSeenMilliseconds);
  }
}
