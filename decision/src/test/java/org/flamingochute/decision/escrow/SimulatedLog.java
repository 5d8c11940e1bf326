package org.flamingochute.decision.escrow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.LogRecord;

/** An in-memory log with the state at its end and the caps at each offset. */
final class SimulatedLog {

  private record StoredRecord(long timeMilliseconds, byte[] bytes) {}

  final AgreedState latestState = AgreedState.empty();
  private final List<StoredRecord> records = new ArrayList<>();
  private final List<Map<String, Integer>> caps = new ArrayList<>();

  ApplyResult append(LogRecord record, long nowMilliseconds) {
    byte[] bytes = record.toByteArray();
    records.add(new StoredRecord(nowMilliseconds, bytes));
    ApplyResult result = latestState.apply(records.size() - 1L, nowMilliseconds, bytes);
    Map<String, Integer> now = new HashMap<>();
    latestState
        .description()
        .getTeamsMap()
        .forEach((team, section) -> now.put(team, section.getCap()));
    caps.add(now);
    return result;
  }

  long lastOffset() {
    return records.size() - 1L;
  }

  void applyNext(AgreedState state) {
    int next = (int) state.offset() + 1;
    state.apply(next, records.get(next).timeMilliseconds(), records.get(next).bytes());
  }

  /** Returns the largest cap of a team from an offset to the end of the log. */
  int largestCap(TeamId team, long fromOffset) {
    int largest = 0;
    for (long offset = Math.max(0, fromOffset); offset <= lastOffset(); offset++) {
      largest = Math.max(largest, caps.get((int) offset).getOrDefault(team.value(), 0));
    }
    return largest;
  }
}
