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
 * Scans the log from its earliest kept record to its end for the newest complete snapshot.
 *
 * <p>Only the parts of snapshots are looked at. When records expire during the scan, the scan goes
 * on from the new earliest one.
 */
final class SnapshotLoader {

  private final PlatformLog log;
  private final int readRecords;
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private final CompletableFuture<Optional<AgreedStateImage>> loaded = new CompletableFuture<>();
  private Optional<AgreedStateImage> newest = Optional.empty();

  /**
   * Creates a loader for one scan.
   *
   * @param readRecords records that are asked for in one read
   */
  SnapshotLoader(PlatformLog log, int readRecords) {
    this.log = log;
    this.readRecords = readRecords;
  }

  /** Scans from an offset on. Returns nothing when there is no snapshot or a read failed. */
  CompletableFuture<Optional<AgreedStateImage>> load(long earliest) {
    scan(earliest);
    return loaded;
  }

  private void scan(long from) {
    log.read(from, readRecords).thenAccept(answer -> takeAnswer(from, answer));
  }

  private void takeAnswer(long from, Either<PlatformError, ReadResponse> answer) {
    if (answer.isRight()) {
      takeRecords(from, answer.get());
      return;
    }
    if (answer.getLeft() instanceof PlatformError.Expired expired
        && expired.earliestOffset() > from) {
      scan(expired.earliestOffset());
      return;
    }
    loaded.complete(Optional.empty());
  }

  private void takeRecords(long from, ReadResponse response) {
    long next = from;
    for (StoredRecord stored : response.getRecordsList()) {
      next = stored.getOffset() + 1;
      offer(stored);
    }
    if (response.getRecordsCount() > 0 && next < response.getNextOffset()) {
      scan(next);
      return;
    }
    loaded.complete(newest);
  }

  private void offer(StoredRecord stored) {
    try {
      LogRecord record = LogRecord.parseFrom(stored.getRecord());
      if (record.hasSnapshotPart()) {
        assembler
            .add(stored.getOffset(), record.getSnapshotPart())
            .forEach(image -> newest = image.or(() -> newest));
      }
    } catch (InvalidProtocolBufferException unreadable) {
      // The fold counts and reports unreadable records; none of them is a part of a snapshot.
      return;
    }
  }
}
