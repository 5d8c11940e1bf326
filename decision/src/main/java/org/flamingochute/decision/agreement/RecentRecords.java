package org.flamingochute.decision.agreement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.schema.RecentRecord;

/**
 * The ids of the last records, so that a second copy of a record folds to nothing.
 *
 * <p>An appender that lost a reply reads the log to its end before it appends again, so a second
 * copy follows the first closely and a window of a fixed number of records is enough.
 */
final class RecentRecords {

  /** Records that are remembered. */
  static final int LIMIT = 8192;

  private final Map<String, Long> offsetById = new LinkedHashMap<>();

  /** Remembers a record; returns false when it is there already. */
  synchronized boolean add(String recordId, long offset) {
    if (offsetById.putIfAbsent(recordId, offset) != null) {
      return false;
    }
    if (offsetById.size() > LIMIT) {
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

  /** Replaces everything by the content of an image. */
  synchronized void load(List<RecentRecord> records) {
    offsetById.clear();
    for (RecentRecord record : records) {
      add(record.getRecordId(), record.getOffset());
    }
  }
}
