package org.flamingochute.engine.log;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.decision.agreement.SnapshotAssembler;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.ReadResponse;
import org.flamingochute.schema.StoredRecord;

/**
 * Scans the log from its earliest available record to its end for the newest complete snapshot.
 *
 * <p>Only the parts of snapshots are evaluated. If records expire during the scan, it continues
 * from the new earliest record.
 */
final class SnapshotLoader {

  private final PlatformLog log;
  private final int maximumReadRecords;
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private final CompletableFuture<Optional<AgreedStateImage>> loaded = new CompletableFuture<>();
  private Optional<AgreedStateImage> newest = Optional.empty();

  /**
   * Creates a loader for one scan.
   *
   * @param maximumReadRecords maximum number of records requested by one read
   */
  SnapshotLoader(PlatformLog log, int maximumReadRecords) {
    this.log = log;
    this.maximumReadRecords = maximumReadRecords;
  }

  /** Scans from an offset on. Completes as empty if there is no snapshot or a read failed. */
  CompletableFuture<Optional<AgreedStateImage>> load(long earliestOffset) {
    scan(earliestOffset);
    return loaded;
  }

  private void scan(long from) {
    log.read(from, maximumReadRecords).thenAccept(result -> handleReadResult(from, result));
  }

  private void handleReadResult(long from, Either<PlatformError, ReadResponse> result) {
    if (result.isRight()) {
      handleRecords(from, result.get());
      return;
    }
    if (result.getLeft() instanceof PlatformError.Expired expired
        && expired.earliestOffset() > from) {
      scan(expired.earliestOffset());
      return;
    }
    loaded.complete(Optional.empty());
  }

  private void handleRecords(long from, ReadResponse response) {
    long next = from;
    for (StoredRecord stored : response.getRecordsList()) {
      next = stored.getOffset() + 1;
      addSnapshotPart(stored);
    }
    if (response.getRecordsCount() > 0 && next < response.getNextOffset()) {
      scan(next);
      return;
    }
    loaded.complete(newest);
  }

  private void addSnapshotPart(StoredRecord stored) {
    try {
      LogRecord record = LogRecord.parseFrom(stored.getRecord());
      if (record.hasSnapshotPart()) {
        assembler
            .add(stored.getOffset(), record.getSnapshotPart())
            .forEach(image -> newest = image.or(() -> newest));
      }
    } catch (InvalidProtocolBufferException unreadable) {
      // Unreadable records are counted and reported when they are applied; none of them is part of
      // a snapshot.
      return;
    }
  }
}
