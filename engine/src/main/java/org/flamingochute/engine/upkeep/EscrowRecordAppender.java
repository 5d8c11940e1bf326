package org.flamingochute.engine.upkeep;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.escrow.EscrowLedger;
import org.flamingochute.engine.log.ApplyListener;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.membership.MemberSelector;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.HoldingsStated;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.Tick;

/**
 * Appends the records that escrow epochs require: statements of holdings, and ticks, which advance
 * the time of the agreed state while nothing else is appended.
 *
 * <p>A statement is retried under one record id until it is in the log, since a second statement
 * would be refused. A tick is appended by the selected member if the agreed state waits for a time
 * that has been reached according to the append time of the newest record plus the time elapsed
 * since then.
 */
public final class EscrowRecordAppender implements ApplyListener {

  /** Long, so that the appender retries the record under its id instead of giving it up. */
  private static final long STATEMENT_TIMEOUT_MILLISECONDS = Duration.ofDays(1).toMillis();

  private static final long TICK_TIMEOUT_MILLISECONDS = 2_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EscrowLedger ledger;
  private final AgreedView agreed;
  private final MemberSelector selector;
  private final LogAppender appender;
  private final Timers timers;
  private final MetricRegistry metrics;
  private final AtomicBoolean tickInProgress = new AtomicBoolean();
  private long newestAppendTimeMilliseconds = Long.MIN_VALUE;
  private long newestRecordSeenMilliseconds;

  /** Creates an appender of escrow records. */
  public EscrowRecordAppender(
      EscrowLedger ledger,
      AgreedView agreed,
      MemberSelector selector,
      LogAppender appender,
      Timers timers,
      MetricRegistry metrics) {
    this.ledger = ledger;
    this.agreed = agreed;
    this.selector = selector;
    this.appender = appender;
    this.timers = timers;
    this.metrics = metrics;
  }

  @Override
  public void afterApply() {
    Optional<HoldingsStated> statement = ledger.pollStatement();
    if (statement.isEmpty()) {
      return;
    }
    metrics.counter("escrow.statements").inc();
    logger.atInfo().log("event=holdings_stated teams=%d", statement.get().getHoldingsCount());
    appender.append(
        LogRecord.newBuilder().setHoldingsStated(statement.get()), STATEMENT_TIMEOUT_MILLISECONDS);
  }

  /** Appends the records that are due; called periodically. */
  public void appendIfDue() {
    afterApply();
    appendTickIfDue();
  }

  private void appendTickIfDue() {
    long dueMilliseconds = agreed.nextTransitionMilliseconds();
    if (dueMilliseconds < 0
        || estimateAppendTimeMilliseconds() <= dueMilliseconds
        || !selector.isSelected()) {
      return;
    }
    if (!tickInProgress.compareAndSet(false, true)) {
      return;
    }
    metrics.counter("escrow.ticks").inc();
    appender
        .append(
            LogRecord.newBuilder().setTick(Tick.getDefaultInstance()), TICK_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> tickInProgress.set(false));
  }

  /** Estimates the append time that a record would get now. */
  private synchronized long estimateAppendTimeMilliseconds() {
    long now = timers.monotonicMilliseconds();
    if (agreed.timeMilliseconds() != newestAppendTimeMilliseconds) {
      newestAppendTimeMilliseconds = agreed.timeMilliseconds();
      newestRecordSeenMilliseconds = now;
    }
    return newestAppendTimeMilliseconds + (now - newestRecordSeenMilliseconds);
  }
}
