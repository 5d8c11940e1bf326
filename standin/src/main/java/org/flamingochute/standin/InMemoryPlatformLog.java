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
 * A log in memory that keeps a limited number of records.
 *
 * <p>Offsets start at 1 and have no gaps. The append time never decreases. When more than the
 * retained number of records is kept, the oldest are dropped, and a read that starts before the
 * earliest kept offset gets {@link PlatformError.Expired}. Example: with 3 retained records, after
 * 5 appended ones, offsets 3 to 5 are kept, and a read from offset 2 has expired.
 *
 * <p>The faults are those of {@link FaultSettings}: the log refuses all calls, loses the reply of
 * an append that took effect, or appends twice.
 */
public final class InMemoryPlatformLog implements PlatformLog {

  /** Offset of the first record. */
  public static final long FIRST_OFFSET = 0;

  private final Timers timers;
  private final long retainedRecords;
  private final List<StoredRecord> records = new ArrayList<>();

  /** Place in the list of the oldest record that is kept; the places before it are garbage. */
  private int firstKept;

  private long nextOffset = FIRST_OFFSET;
  private long lastAppendTime;
  private long appends;
  private long appendedRecords;
  private long reads;
  private boolean down;
  private int lostReplies;
  private int duplicates;

  /**
   * Creates an empty log.
   *
   * @param timers clock of the append times
   * @param retainedRecords records that are kept
   */
  public InMemoryPlatformLog(Timers timers, long retainedRecords) {
    this.timers = timers;
    this.retainedRecords = retainedRecords;
  }

  /** Replaces the faults. */
  public synchronized void applyFaults(FaultSettings faults) {
    down = faults.getLogDown();
    lostReplies = faults.getLostAppendReplies();
    duplicates = faults.getDuplicateAppends();
  }

  @Override
  public CompletableFuture<Either<PlatformError, Long>> append(List<byte[]> batch) {
    return CompletableFuture.completedFuture(appendNow(batch));
  }

  @Override
  public CompletableFuture<Either<PlatformError, ReadResponse>> read(
      long fromOffset, int maximumRecords) {
    return CompletableFuture.completedFuture(readNow(fromOffset, maximumRecords));
  }

  private synchronized Either<PlatformError, Long> appendNow(List<byte[]> batch) {
    if (down) {
      return Either.left(new PlatformError.Refused("the log is down"));
    }
    final long first = store(batch);
    if (duplicates > 0) {
      duplicates--;
      store(batch);
    }
    if (lostReplies > 0) {
      lostReplies--;
      return Either.left(new PlatformError.Unknown("the reply was lost"));
    }
    return Either.right(first);
  }

  private long store(List<byte[]> batch) {
    final long first = nextOffset;
    appends++;
    lastAppendTime = Math.max(lastAppendTime, timers.wallMilliseconds());
    for (byte[] record : batch) {
      records.add(
          StoredRecord.newBuilder()
              .setOffset(nextOffset)
              .setAppendTimeMilliseconds(lastAppendTime)
              .setRecord(ByteString.copyFrom(record))
              .build());
      nextOffset++;
      appendedRecords++;
    }
    dropOldest();
    return first;
  }

  /** Frees the places of dropped records once they are as many as the kept ones. */
  private void dropOldest() {
    firstKept = (int) Math.max(firstKept, records.size() - retainedRecords);
    if (firstKept > retainedRecords) {
      records.subList(0, firstKept).clear();
      firstKept = 0;
    }
  }

  private synchronized Either<PlatformError, ReadResponse> readNow(long from, int maximum) {
    if (down) {
      return Either.left(new PlatformError.Refused("the log is down"));
    }
    reads++;
    if (from < earliestOffset()) {
      return Either.left(
          new PlatformError.Expired("offset " + from + " is no longer kept", earliestOffset()));
    }
    ReadResponse.Builder response =
        ReadResponse.newBuilder().setEarliestOffset(earliestOffset()).setNextOffset(nextOffset);
    if (from >= nextOffset) {
      return Either.right(response.build());
    }
    int begin = firstKept + (int) (from - earliestOffset());
    int end = (int) Math.min(records.size(), (long) begin + maximum);
    response.addAllRecords(records.subList(begin, end));
    return Either.right(response.build());
  }

  /** Returns the oldest offset that is kept, or the next one when nothing is kept. */
  public synchronized long earliestOffset() {
    return firstKept == records.size() ? nextOffset : records.get(firstKept).getOffset();
  }

  /** Returns the offset that the next record gets. */
  public synchronized long nextOffset() {
    return nextOffset;
  }

  /** Returns the number of append calls that took effect. */
  public synchronized long appendCount() {
    return appends;
  }

  /** Returns the number of records appended. */
  public synchronized long recordCount() {
    return appendedRecords;
  }

  /** Returns the number of reads served. */
  public synchronized long readCount() {
    return reads;
  }
}
