package org.flamingochute.scheduling.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One line of a scenario: words and key=value pairs. A key may occur more than once. */
final class ScenarioLine {
  private final List<String> words = new ArrayList<>();
  private final Map<String, List<String>> pairs = new HashMap<>();
  private final String text;

  ScenarioLine(String text) {
    this.text = text;
    for (String part : text.strip().split("\\s+")) {
      int sign = part.indexOf('=');
      if (sign < 0) {
        words.add(part);
      } else {
        pairs
            .computeIfAbsent(part.substring(0, sign), key -> new ArrayList<>())
            .add(part.substring(sign + 1));
      }
    }
  }

  String word(int position) {
    if (position >= words.size()) {
      throw new IllegalArgumentException("a word is missing in \"" + text + "\"");
    }
    return words.get(position);
  }

  String value(String key, String defaultValue) {
    return pairs.containsKey(key) ? pairs.get(key).getFirst() : defaultValue;
  }

  long number(String key, long defaultValue) {
    return Long.parseLong(value(key, Long.toString(defaultValue)));
  }

  List<String> values(String key) {
    return pairs.getOrDefault(key, List.of());
  }

  @Override
  public String toString() {
    return text;
  }
}
