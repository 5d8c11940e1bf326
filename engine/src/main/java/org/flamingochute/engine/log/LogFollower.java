package org.flamingochute.engine.log;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.engine.task.RepeatingTask;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.OffsetRecord;
import org.flamingochute.schema.ReadResponse;
import org.flamingochute.schema.StoredRecord;

/**
 * Reads the log from the first record that is not yet applied to the end, and applies the records
 * to the agreed state.
 *
 * <p>Only one pass of reads is in progress at a time. A pass starts one poll interval after the
 * previous poll has ended, and immediately on a call of {@link #readToEnd}. A call during a pass is
 * completed by the next pass, so that every call is completed by a pass that started after the
 * call.
 *
 * <p>If the next record has expired from the log, the newest complete snapshot in the log replaces
 * the state. Records and images may also be received from peers. In every case the offset only
 * increases.
 *
 * <p>Example: records 0 to 41 are applied, and the newest record of the log is 44. A pass reads 42
 * to 44 and applies them in order. Since the response states 45 as the next offset, the pass has
 * reached the end of the log, as of the time at which the read was sent.
 */
public final class LogFollower {

  /** Maximum number of records requested by one read. */
  private static final int MAXIMUM_READ_RECORDS = 500;

  /** Minimum time between two warnings of one kind; the metrics count every failure. */
  private static final int WARNING_INTERVAL_SECONDS = 5;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PlatformLog log;
  private final AgreedState agreed;
  private final Timers timers;
  private final FreshnessMonitor freshness;
  private final MetricRegistry metrics;
  private final RecentRecords recentRecords = new RecentRecords();
  private final List<ApplyListener> listeners = new CopyOnWriteArrayList<>();
  private final Object applyLock = new Object();
  private final Object passLock = new Object();
  private List<CompletableFuture<Boolean>> pendingReads = new ArrayList<>();
  private boolean passInProgress;
  private final RepeatingTask polls;
  private volatile boolean lastPassReachedEnd;

  /** Creates a follower that is not started. */
  public LogFollower(
      PlatformLog log,
      AgreedState agreed,
      Timers timers,
      FreshnessMonitor freshness,
      Duration pollInterval,
      MetricRegistry metrics) {
    this.log = log;
    this.agreed = agreed;
    this.timers = timers;
    this.freshness = freshness;
    this.metrics = metrics;
    this.polls = new RepeatingTask("log_poll", timers, pollInterval, this::readToEnd, metrics);
  }

  /** Adds a listener that is called after each group of applied records, without any lock held. */
  public void addListener(ApplyListener listener) {
    listeners.add(listener);
  }

  /** Returns the newest records, to be sent to peers. */
  public RecentRecords recentRecords() {
    return recentRecords;
  }

  /** Returns whether the last pass reached the end of the log. */
  public boolean isLogReadable() {
    return lastPassReachedEnd;
  }

  /** Starts polling the log. */
  public void start() {
    polls.start();
  }

  /** Stops polling. A pass in progress still applies the records that it has read. */
  public void stop() {
    polls.stop();
  }

  /**
   * Reads the log to its end by a pass that starts after this call.
   *
   * @return true if the end was reached, false if a read failed or its records could not be applied
   */
  public CompletableFuture<Boolean> readToEnd() {
    CompletableFuture<Boolean> reachedEnd = new CompletableFuture<>();
    synchronized (passLock) {
      pendingReads.add(reachedEnd);
      if (passInProgress) {
        return reachedEnd;
      }
      passInProgress = true;
    }
    beginPass();
    return reachedEnd;
  }

  /** Applies records sent by a peer, up to the first gap in their offsets. */
  public void applyFromPeer(List<OffsetRecord> records) {
    int appliedCount = 0;
    synchronized (applyLock) {
      for (OffsetRecord record : records) {
        if (record.getOffset() > agreed.offset() + 1) {
          break;
        }
        appliedCount +=
            applyIfNew(record.getOffset(), record.getAppendTimeMilliseconds(), record.getRecord());
      }
    }
    if (appliedCount > 0) {
      metrics.counter("log.records_from_peers").inc(appliedCount);
      notifyListeners();
    }
  }

  /**
   * Replaces the state by an image if the image is later. Returns whether the state was replaced.
   */
  public boolean installImage(AgreedStateImage image, String source) {
    synchronized (applyLock) {
      if (image.getOffset() <= agreed.offset()) {
        return false;
      }
      agreed.replaceWith(image);
      recentRecords.clear();
    }
    metrics.counter("log.images_taken").inc();
    logger.atInfo().log("event=image_taken source=%s offset=%d", source, image.getOffset());
    notifyListeners();
    return true;
  }

  private void beginPass() {
    List<CompletableFuture<Boolean>> reads;
    synchronized (passLock) {
      reads = pendingReads;
      pendingReads = new ArrayList<>();
    }
    readNext(reads);
  }

  private void readNext(List<CompletableFuture<Boolean>> reads) {
    long startMilliseconds = timers.monotonicMilliseconds();
    long from = agreed.offset() + 1;
    log.read(from, MAXIMUM_READ_RECORDS)
        .thenAccept(result -> handleReadResult(reads, startMilliseconds, from, result));
  }

  private void handleReadResult(
      List<CompletableFuture<Boolean>> reads,
      long startMilliseconds,
      long from,
      Either<PlatformError, ReadResponse> result) {
    if (result.isRight()) {
      handleRecordsSafely(reads, startMilliseconds, result.get());
      return;
    }
    switch (result.getLeft()) {
      case PlatformError.Expired expired -> loadSnapshot(reads, from, expired.earliestOffset());
      case PlatformError.Refused refused -> failPass(reads, refused.detail());
      case PlatformError.Unknown unknown -> failPass(reads, unknown.detail());
    }
  }

  /** Fails only the current pass on an exception, so that later passes still run. */
  private void handleRecordsSafely(
      List<CompletableFuture<Boolean>> reads, long startMilliseconds, ReadResponse response) {
    try {
      handleRecords(reads, startMilliseconds, response);
    } catch (RuntimeException failure) {
      logger.atSevere().withCause(failure).log("event=fold_failed offset=%d", agreed.offset());
      failPass(reads, "applying the records failed");
    }
  }

  private void handleRecords(
      List<CompletableFuture<Boolean>> reads, long startMilliseconds, ReadResponse response) {
    int appliedCount = applyAll(response.getRecordsList());
    long next = agreed.offset() + 1;
    if (next == response.getNextOffset()) {
      freshness.recordLogEndRead(startMilliseconds);
      finishPass(reads, true);
    } else if (next > response.getNextOffset() && appliedCount == 0) {
      handleEndBeforeState(reads, startMilliseconds, response);
    } else if (appliedCount == 0) {
      failPass(reads, "no record at offset " + next + " before " + response.getNextOffset());
    } else {
      readNext(reads);
    }
  }

  /**
   * Handles a log that ends before the offset of the state. Records of a peer may have been applied
   * since the read was sent; otherwise the log has lost records, and the read proves nothing.
   */
  private void handleEndBeforeState(
      List<CompletableFuture<Boolean>> reads, long startMilliseconds, ReadResponse response) {
    if (recentRecords.contains(response.getNextOffset())) {
      freshness.recordLogEndRead(startMilliseconds);
      finishPass(reads, true);
      return;
    }
    failPass(reads, "the log ends at " + response.getNextOffset() + ", before this entry's state");
  }

  private int applyAll(List<StoredRecord> records) {
    int appliedCount = 0;
    synchronized (applyLock) {
      for (StoredRecord record : records) {
        appliedCount +=
            applyIfNew(record.getOffset(), record.getAppendTimeMilliseconds(), record.getRecord());
      }
    }
    if (appliedCount > 0) {
      notifyListeners();
    }
    return appliedCount;
  }

  private int applyIfNew(long offset, long appendTimeMilliseconds, ByteString record) {
    if (offset <= agreed.offset()) {
      return 0;
    }
    agreed.apply(offset, appendTimeMilliseconds, record.toByteArray());
    recentRecords.add(offset, appendTimeMilliseconds, record);
    metrics.counter("log.records_folded").inc();
    return 1;
  }

  private void loadSnapshot(
      List<CompletableFuture<Boolean>> reads, long from, long earliestOffset) {
    logger.atInfo().log("event=records_expired from=%d earliest=%d", from, earliestOffset);
    metrics.counter("log.expired_reads").inc();
    new SnapshotLoader(log, MAXIMUM_READ_RECORDS)
        .load(earliestOffset)
        .thenAccept(image -> handleSnapshot(reads, image));
  }

  private void handleSnapshot(
      List<CompletableFuture<Boolean>> reads, Optional<AgreedStateImage> image) {
    if (image.isPresent() && installImage(image.get(), "snapshot")) {
      readNext(reads);
      return;
    }
    failPass(reads, "no complete snapshot after offset " + agreed.offset());
  }

  private void failPass(List<CompletableFuture<Boolean>> reads, String detail) {
    metrics.counter("log.failed_reads").inc();
    logger.atWarning().atMostEvery(WARNING_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "event=log_read_failed detail=%s", LogText.quoted(detail));
    finishPass(reads, false);
  }

  private void finishPass(List<CompletableFuture<Boolean>> reads, boolean reachedEnd) {
    lastPassReachedEnd = reachedEnd;
    boolean startsAgain;
    synchronized (passLock) {
      startsAgain = !pendingReads.isEmpty();
      passInProgress = startsAgain;
    }
    for (CompletableFuture<Boolean> future : reads) {
      future.complete(reachedEnd);
    }
    if (startsAgain) {
      beginPass();
    }
  }

  private void notifySafely(ApplyListener listener) {
    try {
      listener.afterApply();
    } catch (RuntimeException failure) {
      metrics.counter("tasks.failed").inc();
      logger.atSevere().withCause(failure).log("event=reaction_failed");
    }
  }

  private void notifyListeners() {
    for (ApplyListener listener : listeners) {
      notifySafely(listener);
    }
  }
}
