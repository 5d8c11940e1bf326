package org.flamingochute.engine.log;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.flamingochute.schema.OffsetRecord;

/**
 * The newest records read from the log, for peers that cannot reach the log.
 *
 * <p>The buffer is bounded in bytes; the oldest records are dropped first. A peer that needs an
 * older record requests an image instead.
 */
public final class RecentRecords {

  /** Maximum total size of the records, without their offsets and append times. */
  private static final int MAXIMUM_BYTES = 1 << 20;

  /** Maximum number of records in one response. */
  private static final int MAXIMUM_RESPONSE_RECORDS = 200;

  private final Deque<OffsetRecord> records = new ArrayDeque<>();
  private int bytes;

  /** Adds one record. Records must be added in the order of their offsets. */
  synchronized void add(long offset, long appendTimeMilliseconds, ByteString record) {
    records.addLast(
        OffsetRecord.newBuilder()
            .setOffset(offset)
            .setAppendTimeMilliseconds(appendTimeMilliseconds)
            .setRecord(record)
            .build());
    bytes += record.size();
    while (bytes > MAXIMUM_BYTES) {
      bytes -= records.removeFirst().getRecord().size();
    }
  }

  /** Removes all records, after the state was replaced by an image. */
  synchronized void clear() {
    records.clear();
    bytes = 0;
  }

  /** Returns whether the record at the offset is in the buffer. */
  public synchronized boolean contains(long offset) {
    return !records.isEmpty()
        && records.getFirst().getOffset() <= offset
        && offset <= records.getLast().getOffset();
  }

  /** Returns the records from an offset on, up to the limit of one response. */
  public synchronized List<OffsetRecord> from(long offset) {
    List<OffsetRecord> found = new ArrayList<>();
    for (OffsetRecord record : records) {
      if (found.size() == MAXIMUM_RESPONSE_RECORDS) {
        break;
      }
      if (record.getOffset() >= offset) {
        found.add(record);
      }
    }
    return found;
  }
}
