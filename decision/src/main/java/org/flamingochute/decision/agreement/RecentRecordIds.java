package org.flamingochute.decision.agreement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.schema.RecentRecord;

/**
 * The ids of the most recent records, used to ignore further copies of a record.
 *
 * <p>An appender that received no response reads the log to its end before it appends again. So a
 * second copy follows the first closely, and a window of a fixed number of records is sufficient.
 */
final class RecentRecordIds {

  /** Number of record ids that are retained. */
  static final int MAXIMUM_IDS = 8192;

  private final Map<String, Long> offsetById = new LinkedHashMap<>();

  /** Adds a record; returns false if it is already present. */
  synchronized boolean add(String recordId, long offset) {
    if (offsetById.putIfAbsent(recordId, offset) != null) {
      return false;
    }
    if (offsetById.size() > MAXIMUM_IDS) {
      Iterator<String> oldest = offsetById.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    return true;
  }

  /** Returns the records, oldest first. */
  synchronized List<RecentRecord> image() {
    return offsetById.entrySet().stream()
        .map(
            entry ->
                RecentRecord.newBuilder()
                    .setRecordId(entry.getKey())
                    .setOffset(entry.getValue())
                    .build())
        .toList();
  }

  /** Replaces the content by that of an image. */
  synchronized void load(List<RecentRecord> records) {
    offsetById.clear();
    for (RecentRecord record : records) {
      add(record.getRecordId(), record.getOffset());
    }
  }
}
