package org.flamingochute.engine.peer;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the values of the next heartbeat within a byte budget.
 *
 * <p>Changed values are selected first, the least recently sent ones first among them. The
 * remaining budget is filled with unchanged values in the same order, so that a value lost in
 * transit is eventually sent again. Example: of 700 teams 5 have changed and 8 fit; these 5 are
 * sent, and the 3 least recently sent ones of the others.
 *
 * @param <T> type of a value
 */
final class DeltaSelector<T extends MessageLite> {

  /** Bytes that a repeated field adds to a value of less than 128 bytes: its tag and length. */
  private static final int FIELD_BYTES = 2;

  private final Map<String, SentValue<T>> lastSent = new HashMap<>();
  private long round;

  /**
   * Selects values and records them as sent.
   *
   * @param current the current values, by name
   * @param budgetBytes limit of the serialized size of the selected values
   */
  synchronized List<T> select(Map<String, T> current, int budgetBytes) {
    round++;
    lastSent.keySet().retainAll(current.keySet());
    List<String> order = new ArrayList<>(current.keySet());
    order.sort(
        Comparator.comparing((String name) -> !isChanged(name, current.get(name)))
            .thenComparingLong(this::lastSentRound)
            .thenComparing(Comparator.naturalOrder()));
    List<T> chosen = new ArrayList<>();
    int remainingBytes = budgetBytes;
    for (String name : order) {
      T value = current.get(name);
      int size = value.getSerializedSize() + FIELD_BYTES;
      if (size > remainingBytes) {
        break;
      }
      remainingBytes -= size;
      chosen.add(value);
      lastSent.put(name, new SentValue<>(value, round));
    }
    return chosen;
  }

  private boolean isChanged(String name, T value) {
    SentValue<T> previous = lastSent.get(name);
    return previous == null || !previous.value().equals(value);
  }

  private long lastSentRound(String name) {
    SentValue<T> previous = lastSent.get(name);
    return previous == null ? 0 : previous.round();
  }

  private record SentValue<T>(T value, long round) {}
}
