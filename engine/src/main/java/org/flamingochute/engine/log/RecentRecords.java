package org.flamingochute.engine.log;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.flamingochute.schema.OffsetRecord;

/**
 * The newest records of the log as they were read, for peers that cannot reach the log.
 *
 * <p>Bounded by bytes: the oldest records are dropped first. A peer that needs an older one takes
 * an image instead.
 */
public final class RecentRecords {

  /** Largest sum of record sizes that is kept, in bytes. */
  private static final int MAXIMUM_BYTES = 1 << 20;

  /** Largest number of records in one response. */
  private static final int MAXIMUM_RESPONSE_RECORDS = 200;

  private final Deque<OffsetRecord> records = new ArrayDeque<>();
  private int bytes;

  /** Keeps one record. Records come in order of their offsets. */
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

  /** Forgets all records, after the state was replaced by an image. */
  synchronized void clear() {
    records.clear();
    bytes = 0;
  }

  /** Tells whether the record at the offset is kept. */
  public synchronized boolean contains(long offset) {
    return !records.isEmpty()
        && records.getFirst().getOffset() <= offset
        && offset <= records.getLast().getOffset();
  }

  /** Returns kept records from an offset on, a bounded number of them. */
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
