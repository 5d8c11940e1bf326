package org.flamingochute.engine.peer;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses which values go into the next heartbeat within a number of bytes.
 *
 * <p>Changed values go first, those that were sent longest ago first among them. Room that is left
 * goes to unchanged values in the same order, so that a value lost on its way is repaired. Example:
 * of 700 teams 5 have changed and 8 fit; the 5 are sent, and the 3 that were sent longest ago.
 *
 * @param <T> type of a value
 */
final class DeltaSelector<T extends MessageLite> {

  /** Bytes that a repeated field adds to its value: the tag and the length. */
  private static final int FIELD_BYTES = 2;

  private final Map<String, Sent<T>> sent = new HashMap<>();
  private long round;

  /**
   * Chooses values and takes them as sent.
   *
   * @param current the values now, by name
   * @param budgetBytes bytes that the chosen values may take
   */
  synchronized List<T> select(Map<String, T> current, int budgetBytes) {
    round++;
    sent.keySet().retainAll(current.keySet());
    List<String> order = new ArrayList<>(current.keySet());
    order.sort(
        Comparator.comparing((String name) -> !isChanged(name, current.get(name)))
            .thenComparingLong(this::lastRound)
            .thenComparing(Comparator.naturalOrder()));
    List<T> chosen = new ArrayList<>();
    int left = budgetBytes;
    for (String name : order) {
      T value = current.get(name);
      int size = value.getSerializedSize() + FIELD_BYTES;
      if (size > left) {
        break;
      }
      left -= size;
      chosen.add(value);
      sent.put(name, new Sent<>(value, round));
    }
    return chosen;
  }

  private boolean isChanged(String name, T value) {
    Sent<T> before = sent.get(name);
    return before == null || !before.value().equals(value);
  }

  private long lastRound(String name) {
    Sent<T> before = sent.get(name);
    return before == null ? 0 : before.round();
  }

  private record Sent<T>(T value, long round) {}
}
