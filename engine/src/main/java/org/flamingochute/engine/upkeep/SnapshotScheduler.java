package org.flamingochute.engine.upkeep;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.agreement.SnapshotWriter;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.membership.MemberSelector;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.SnapshotPart;

/**
 * Writes a snapshot after a number of records since the previous one.
 *
 * <p>Only the selected member writes snapshots. A snapshot whose parts do not all reach the log
 * remains incomplete and is never loaded. The count of records restarts when the last part of a
 * snapshot is applied; if that part does not reach the log, another snapshot is written as soon as
 * the appends of the parts have ended. The parts of snapshots are not counted as records, so that
 * snapshots do not cause further snapshots.
 */
public final class SnapshotScheduler implements AgreementListener {

  private static final long APPEND_TIMEOUT_MILLISECONDS = 10_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedState agreed;
  private final MemberSelector selector;
  private final LogAppender appender;
  private final Incarnation self;
  private final long recordInterval;
  private final MetricRegistry metrics;
  private final AtomicInteger partsInProgress = new AtomicInteger();
  private volatile long recordsSinceSnapshot;

  /**
   * Creates a scheduler.
   *
   * @param recordInterval number of records after which a snapshot is due
   */
  public SnapshotScheduler(
      AgreedState agreed,
      MemberSelector selector,
      LogAppender appender,
      Incarnation self,
      long recordInterval,
      MetricRegistry metrics) {
    this.agreed = agreed;
    this.selector = selector;
    this.appender = appender;
    this.self = self;
    this.recordInterval = recordInterval;
    this.metrics = metrics;
  }

  @Override
  public void recordApplied(long offset, LogRecord record, ApplyResult result) {
    if (record.hasSnapshotPart()) {
      restartCount(offset, record.getSnapshotPart());
      return;
    }
    recordsSinceSnapshot = recordsSinceSnapshot + 1;
  }

  /** Writes a snapshot if one is due and this entry is selected. */
  public void writeIfDue() {
    if (recordsSinceSnapshot < recordInterval || !selector.isSelected()) {
      return;
    }
    if (!partsInProgress.compareAndSet(0, 1)) {
      return;
    }
    AgreedStateImage image = agreed.image();
    List<LogRecord> parts =
        SnapshotWriter.write(image, "snapshot-" + self + "-" + image.getOffset(), self);
    metrics.counter("snapshots.written").inc();
    logger.atInfo().log("event=snapshot_written parts=%d", parts.size());
    partsInProgress.addAndGet(parts.size());
    for (LogRecord part : parts) {
      appender
          .append(part.toBuilder(), APPEND_TIMEOUT_MILLISECONDS)
          .thenAccept(outcome -> partsInProgress.decrementAndGet());
    }
    partsInProgress.decrementAndGet();
  }

  /** The last part of a snapshot restarts the count from the offset that the snapshot covers. */
  private void restartCount(long offset, SnapshotPart part) {
    if (part.getPart() == part.getParts() - 1) {
      recordsSinceSnapshot =
          Math.min(recordsSinceSnapshot, Math.max(0, offset - part.getCoveredOffset()));
    }
  }
}
