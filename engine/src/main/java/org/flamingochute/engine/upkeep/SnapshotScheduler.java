package org.flamingochute.engine.upkeep;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.agreement.FoldResult;
import org.flamingochute.decision.agreement.SnapshotWriter;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.membership.MemberRank;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.SnapshotPart;

/**
 * Writes a snapshot when enough records have passed since the last one.
 *
 * <p>The first member that is heard writes. When its parts do not all arrive, the snapshot stays
 * incomplete and loads nowhere, and the next one is due as many records later. Parts do not count
 * as records, so that snapshots do not cause snapshots.
 */
public final class SnapshotScheduler implements AgreementListener {

  private static final long APPEND_MILLISECONDS = 10_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedState agreed;
  private final MemberRank rank;
  private final LogAppender appender;
  private final Incarnation self;
  private final long recordInterval;
  private final MetricRegistry metrics;
  private final AtomicInteger partsUnderWay = new AtomicInteger();
  private volatile long recordsSinceSnapshot;

  /**
   * Creates a scheduler.
   *
   * @param recordInterval records after which a snapshot is due
   */
  public SnapshotScheduler(
      AgreedState agreed,
      MemberRank rank,
      LogAppender appender,
      Incarnation self,
      long recordInterval,
      MetricRegistry metrics) {
    this.agreed = agreed;
    this.rank = rank;
    this.appender = appender;
    this.self = self;
    this.recordInterval = recordInterval;
    this.metrics = metrics;
  }

  @Override
  public void recordFolded(long offset, LogRecord record, FoldResult result) {
    if (record.hasSnapshotPart()) {
      noteSnapshot(offset, record.getSnapshotPart());
      return;
    }
    recordsSinceSnapshot = recordsSinceSnapshot + 1;
  }

  /** Writes a snapshot when one is due and it falls to this entry. */
  public void writeIfDue() {
    if (recordsSinceSnapshot < recordInterval || !rank.isFirst()) {
      return;
    }
    if (!partsUnderWay.compareAndSet(0, 1)) {
      return;
    }
    AgreedStateImage image = agreed.image();
    List<LogRecord> parts =
        SnapshotWriter.write(image, "snapshot-" + self + "-" + image.getOffset(), self);
    metrics.counter("snapshots.written").inc();
    logger.atInfo().log("event=snapshot_written parts=%d", parts.size());
    partsUnderWay.addAndGet(parts.size());
    for (LogRecord part : parts) {
      appender
          .append(part.toBuilder(), APPEND_MILLISECONDS)
          .thenAccept(outcome -> partsUnderWay.decrementAndGet());
    }
    partsUnderWay.decrementAndGet();
  }

  /** The last part of a snapshot restarts the count from the offset that the snapshot covers. */
  private void noteSnapshot(long offset, SnapshotPart part) {
    if (part.getPart() == part.getParts() - 1) {
      recordsSinceSnapshot =
          Math.min(recordsSinceSnapshot, Math.max(0, offset - part.getCoveredOffset()));
    }
  }
}
