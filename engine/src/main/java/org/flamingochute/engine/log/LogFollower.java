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
 * Reads the log from the first record that is not yet folded to the end, and folds what it reads.
 *
 * <p>One pass of reads is under way at a time. A pass begins at each poll interval, and at once
 * when {@link #readToEnd} asks for it. Who asks while a pass is under way is served by the next
 * pass, so that a pass which reports the end always began after it was asked for.
 *
 * <p>When the next record is no longer kept, the newest complete snapshot in the log replaces the
 * state. Records and images may also come from peers. In every case the offset only grows.
 *
 * <p>Example: records 0 to 41 are folded and the log ends at 44. A pass reads 42 to 44, folds them
 * in order, sees that the next offset is 45, and reports the end of the log as of the time at which
 * the last read was sent.
 */
public final class LogFollower {

  /** Records that are asked for in one read. */
  private static final int READ_RECORDS = 500;

  /** Seconds between two warnings of one kind; the metrics count every failure. */
  private static final int WARNING_SECONDS = 5;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PlatformLog log;
  private final AgreedState agreed;
  private final Timers timers;
  private final FreshnessMonitor freshness;
  private final MetricRegistry metrics;
  private final RecentRecords recentRecords = new RecentRecords();
  private final List<FoldReaction> reactions = new CopyOnWriteArrayList<>();
  private final Object foldLock = new Object();
  private final Object passLock = new Object();
  private List<CompletableFuture<Boolean>> askedFor = new ArrayList<>();
  private boolean passUnderWay;
  private final RepeatingTask polls;
  private volatile boolean lastPassReachedEnd;

  /** Creates a follower that has not yet begun. */
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

  /** Adds a reaction that runs after each group of folded records, outside of every lock. */
  public void addReaction(FoldReaction reaction) {
    reactions.add(reaction);
  }

  /** Returns the newest records, for peers. */
  public RecentRecords recentRecords() {
    return recentRecords;
  }

  /** Tells whether the last pass reached the end of the log. */
  public boolean isLogReadable() {
    return lastPassReachedEnd;
  }

  /** Begins to poll the log. */
  public void start() {
    polls.start();
  }

  /** Ends polling. A pass under way still folds what it has read. */
  public void stop() {
    polls.stop();
  }

  /**
   * Reads the log to its end by a pass that begins after this call.
   *
   * @return true when the end was reached, false when the log could not be read
   */
  public CompletableFuture<Boolean> readToEnd() {
    CompletableFuture<Boolean> reached = new CompletableFuture<>();
    synchronized (passLock) {
      askedFor.add(reached);
      if (passUnderWay) {
        return reached;
      }
      passUnderWay = true;
    }
    beginPass();
    return reached;
  }

  /** Folds records that a peer sent, as far as they continue the state without a gap. */
  public void foldFromPeer(List<OffsetRecord> records) {
    int folded = 0;
    synchronized (foldLock) {
      for (OffsetRecord record : records) {
        if (record.getOffset() > agreed.offset() + 1) {
          break;
        }
        folded += fold(record.getOffset(), record.getAppendTimeMilliseconds(), record.getRecord());
      }
    }
    if (folded > 0) {
      metrics.counter("log.records_from_peers").inc(folded);
      react();
    }
  }

  /** Takes over an image when it is later than the state. Returns whether it was taken. */
  public boolean takeImage(AgreedStateImage image, String source) {
    synchronized (foldLock) {
      if (image.getOffset() <= agreed.offset()) {
        return false;
      }
      agreed.replaceBy(image);
      recentRecords.clear();
    }
    metrics.counter("log.images_taken").inc();
    logger.atInfo().log("event=image_taken source=%s offset=%d", source, image.getOffset());
    react();
    return true;
  }

  private void beginPass() {
    List<CompletableFuture<Boolean>> served;
    synchronized (passLock) {
      served = askedFor;
      askedFor = new ArrayList<>();
    }
    readNext(served);
  }

  private void readNext(List<CompletableFuture<Boolean>> served) {
    long begun = timers.monotonicMilliseconds();
    long from = agreed.offset() + 1;
    log.read(from, READ_RECORDS).thenAccept(answer -> takeAnswer(served, begun, from, answer));
  }

  private void takeAnswer(
      List<CompletableFuture<Boolean>> served,
      long begun,
      long from,
      Either<PlatformError, ReadResponse> answer) {
    if (answer.isRight()) {
      takeRecordsSafely(served, begun, answer.get());
      return;
    }
    switch (answer.getLeft()) {
      case PlatformError.Expired expired -> loadSnapshot(served, from, expired.earliestOffset());
      case PlatformError.Refused refused -> passFailed(served, refused.detail());
      case PlatformError.Unknown unknown -> passFailed(served, unknown.detail());
    }
  }

  /** A failure of one pass must not end the passes. */
  private void takeRecordsSafely(
      List<CompletableFuture<Boolean>> served, long begun, ReadResponse response) {
    try {
      takeRecords(served, begun, response);
    } catch (RuntimeException failure) {
      logger.atSevere().withCause(failure).log("event=fold_failed offset=%d", agreed.offset());
      passFailed(served, "the fold failed");
    }
  }

  private void takeRecords(
      List<CompletableFuture<Boolean>> served, long begun, ReadResponse response) {
    int folded = foldAll(response.getRecordsList());
    long next = agreed.offset() + 1;
    if (next == response.getNextOffset()) {
      freshness.logEndRead(begun);
      endPass(served, true);
    } else if (next > response.getNextOffset() && folded == 0) {
      takeEndBehind(served, begun, response);
    } else if (folded == 0) {
      passFailed(served, "no record at offset " + next + " before " + response.getNextOffset());
    } else {
      readNext(served);
    }
  }

  /**
   * The log ended before the state. A peer's records may have been folded since the read was sent;
   * otherwise the log has lost records, and the read proves nothing.
   */
  private void takeEndBehind(
      List<CompletableFuture<Boolean>> served, long begun, ReadResponse response) {
    if (recentRecords.contains(response.getNextOffset())) {
      freshness.logEndRead(begun);
      endPass(served, true);
      return;
    }
    passFailed(
        served, "the log ends at " + response.getNextOffset() + ", before this entry's state");
  }

  private int foldAll(List<StoredRecord> records) {
    int folded = 0;
    synchronized (foldLock) {
      for (StoredRecord record : records) {
        folded += fold(record.getOffset(), record.getAppendTimeMilliseconds(), record.getRecord());
      }
    }
    if (folded > 0) {
      react();
    }
    return folded;
  }

  private int fold(long offset, long appendTimeMilliseconds, ByteString record) {
    if (offset <= agreed.offset()) {
      return 0;
    }
    agreed.apply(offset, appendTimeMilliseconds, record.toByteArray());
    recentRecords.add(offset, appendTimeMilliseconds, record);
    metrics.counter("log.records_folded").inc();
    return 1;
  }

  private void loadSnapshot(List<CompletableFuture<Boolean>> served, long from, long earliest) {
    logger.atInfo().log("event=records_expired from=%d earliest=%d", from, earliest);
    metrics.counter("log.expired_reads").inc();
    new SnapshotLoader(log, READ_RECORDS)
        .load(earliest)
        .thenAccept(image -> takeSnapshot(served, image));
  }

  private void takeSnapshot(
      List<CompletableFuture<Boolean>> served, Optional<AgreedStateImage> image) {
    if (image.isPresent() && takeImage(image.get(), "snapshot")) {
      readNext(served);
      return;
    }
    passFailed(served, "no complete snapshot after offset " + agreed.offset());
  }

  private void passFailed(List<CompletableFuture<Boolean>> served, String detail) {
    metrics.counter("log.failed_reads").inc();
    logger.atWarning().atMostEvery(WARNING_SECONDS, TimeUnit.SECONDS).log(
        "event=log_read_failed detail=%s", LogText.quoted(detail));
    endPass(served, false);
  }

  private void endPass(List<CompletableFuture<Boolean>> served, boolean reached) {
    lastPassReachedEnd = reached;
    boolean again;
    synchronized (passLock) {
      again = !askedFor.isEmpty();
      passUnderWay = again;
    }
    for (CompletableFuture<Boolean> future : served) {
      future.complete(reached);
    }
    if (again) {
      beginPass();
    }
  }

  private void runSafely(FoldReaction reaction) {
    try {
      reaction.folded();
    } catch (RuntimeException failure) {
      metrics.counter("tasks.failed").inc();
      logger.atSevere().withCause(failure).log("event=reaction_failed");
    }
  }

  private void react() {
    for (FoldReaction reaction : reactions) {
      runSafely(reaction);
    }
  }
}
