package org.flamingochute.standin;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.FaultSettings;
import org.flamingochute.schema.ReadResponse;
import org.flamingochute.schema.StoredRecord;

/**
 * An in-memory platform log that retains a limited number of records.
 *
 * <p>Offsets start at {@value #FIRST_OFFSET} and have no gaps. The append time never decreases.
 * When there are more records than the retention limit, the oldest are dropped, and a read that
 * starts before the earliest retained offset fails with {@link PlatformError.Expired}. Example:
 * with a limit of 3, after 5 appended records, offsets 2 to 4 are retained, and a read from offset
 * 1 fails.
 *
 * <p>It supports these faults of {@link FaultSettings}: it refuses all calls, loses the response to
 * an append that took effect, or appends a batch twice.
 */
public final class InMemoryPlatformLog implements PlatformLog {

  /** Offset of the first record. */
  public static final long FIRST_OFFSET = 0;

  private final Timers timers;
  private final long retainedRecords;
  private final List<StoredRecord> records = new ArrayList<>();

  /** Index of the oldest retained record; the records before it have expired. */
  private int firstRetainedIndex;

  private long nextOffset = FIRST_OFFSET;
  private long lastAppendMilliseconds;
  private long appendCalls;
  private long appendedRecords;
  private long readCalls;
  private boolean isDown;
  private int repliesToLose;
  private int appendsToDuplicate;

  /**
   * Creates an empty log.
   *
   * @param timers clock for the append times
   * @param retainedRecords number of records to retain
   */
  public InMemoryPlatformLog(Timers timers, long retainedRecords) {
    this.timers = timers;
    this.retainedRecords = retainedRecords;
  }

  /** Replaces the configured faults. */
  public synchronized void applyFaults(FaultSettings faults) {
    isDown = faults.getLogDown();
    repliesToLose = faults.getLostAppendReplies();
    appendsToDuplicate = faults.getDuplicateAppends();
  }

  @Override
  public CompletableFuture<Either<PlatformError, Long>> append(List<byte[]> batch) {
    return CompletableFuture.completedFuture(appendUnderFaults(batch));
  }

  @Override
  public CompletableFuture<Either<PlatformError, ReadResponse>> read(
      long fromOffset, int maximumRecords) {
    return CompletableFuture.completedFuture(readUnderFaults(fromOffset, maximumRecords));
  }

  private synchronized Either<PlatformError, Long> appendUnderFaults(List<byte[]> batch) {
    if (isDown) {
      return Either.left(new PlatformError.Refused("the log is down"));
    }
    final long firstOffset = storeRecords(batch);
    if (appendsToDuplicate > 0) {
      appendsToDuplicate--;
      storeRecords(batch);
    }
    if (repliesToLose > 0) {
      repliesToLose--;
      return Either.left(new PlatformError.Unknown("the reply was lost"));
    }
    return Either.right(firstOffset);
  }

  private long storeRecords(List<byte[]> batch) {
    final long firstOffset = nextOffset;
    appendCalls++;
    lastAppendMilliseconds = Math.max(lastAppendMilliseconds, timers.wallMilliseconds());
    for (byte[] record : batch) {
      records.add(
          StoredRecord.newBuilder()
              .setOffset(nextOffset)
              .setAppendTimeMilliseconds(lastAppendMilliseconds)
              .setRecord(ByteString.copyFrom(record))
              .build());
      nextOffset++;
      appendedRecords++;
    }
    dropExpiredRecords();
    return firstOffset;
  }

  /** Removes expired records from the list once there are more of them than retained ones. */
  private void dropExpiredRecords() {
    firstRetainedIndex = (int) Math.max(firstRetainedIndex, records.size() - retainedRecords);
    if (firstRetainedIndex > retainedRecords) {
      records.subList(0, firstRetainedIndex).clear();
      firstRetainedIndex = 0;
    }
  }

  private synchronized Either<PlatformError, ReadResponse> readUnderFaults(
      long fromOffset, int maximumRecords) {
    if (isDown) {
      return Either.left(new PlatformError.Refused("the log is down"));
    }
    readCalls++;
    if (fromOffset < earliestOffset()) {
      return Either.left(
          new PlatformError.Expired(
              "offset " + fromOffset + " is no longer retained", earliestOffset()));
    }
    ReadResponse.Builder response =
        ReadResponse.newBuilder().setEarliestOffset(earliestOffset()).setNextOffset(nextOffset);
    if (fromOffset >= nextOffset) {
      return Either.right(response.build());
    }
    int startIndex = firstRetainedIndex + (int) (fromOffset - earliestOffset());
    int endIndex = (int) Math.min(records.size(), (long) startIndex + maximumRecords);
    response.addAllRecords(records.subList(startIndex, endIndex));
    return Either.right(response.build());
  }

  /** Returns the oldest retained offset, or the next offset if there are no records. */
  public synchronized long earliestOffset() {
    return firstRetainedIndex == records.size()
        ? nextOffset
        : records.get(firstRetainedIndex).getOffset();
  }

  /** Returns the offset of the next record to be appended. */
  public synchronized long nextOffset() {
    return nextOffset;
  }

  /** Returns the number of appended batches; one that a fault duplicated counts twice. */
  public synchronized long appendCount() {
    return appendCalls;
  }

  /** Returns the number of appended records, including expired and duplicated ones. */
  public synchronized long recordCount() {
    return appendedRecords;
  }

  /** Returns the number of read calls that were not refused, including expired reads. */
  public synchronized long readCount() {
    return readCalls;
  }
}
