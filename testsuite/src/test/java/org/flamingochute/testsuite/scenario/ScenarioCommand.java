package org.flamingochute.testsuite.scenario;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One line of a fault or call section: a time, a verb, plain words and {@code key=value} options.
 *
 * <p>Example: {@code 100 request order service=proofs every=50 repeat=10}.
 */
public final class ScenarioCommand {

  private final String place;
  private final long atMilliseconds;
  private final String verb;
  private final List<String> words;
  private final Map<String, String> options;

  private ScenarioCommand(
      String place,
      long atMilliseconds,
      String verb,
      List<String> words,
      Map<String, String> options) {
    this.place = place;
    this.atMilliseconds = atMilliseconds;
    this.verb = verb;
    this.words = words;
    this.options = options;
  }

  /**
   * Reads a line.
   *
   * @param place file and line for messages
   * @throws IllegalArgumentException when the line has no time or no verb
   */
  public static ScenarioCommand parse(String place, String line) {
    String[] parts = line.trim().split("\\s+");
    if (parts.length < 2 || !parts[0].matches("[0-9]+")) {
      throw new IllegalArgumentException(place + ": expected a time and a verb: \"" + line + "\"");
    }
    List<String> words = new java.util.ArrayList<>();
    Map<String, String> options = new TreeMap<>();
    for (int i = 2; i < parts.length; i++) {
      int equals = parts[i].indexOf('=');
      if (equals < 0) {
        words.add(parts[i]);
        continue;
      }
      options.put(parts[i].substring(0, equals), parts[i].substring(equals + 1));
    }
    return new ScenarioCommand(place, Long.parseLong(parts[0]), parts[1], words, options);
  }

  /** Returns the time in milliseconds since the begin. */
  public long atMilliseconds() {
    return atMilliseconds;
  }

  /** Returns the verb. */
  public String verb() {
    return verb;
  }

  /** Returns the plain words after the verb. */
  public List<String> words() {
    return words;
  }

  /** Returns the plain word at a position. */
  public String word(int index) {
    if (index >= words.size()) {
      throw error("needs " + (index + 1) + " words after " + verb);
    }
    return words.get(index);
  }

  /** Returns the number at a position of the plain words. */
  public long number(int index) {
    String word = word(index);
    if (!word.matches("-?[0-9]+")) {
      throw error("\"" + word + "\" is not a number");
    }
    return Long.parseLong(word);
  }

  /** Returns an option as a number, or its default. */
  public long number(String name, long defaultValue) {
    String value = options.get(name);
    if (value == null) {
      return defaultValue;
    }
    if (!value.matches("-?[0-9]+")) {
      throw error("option " + name + " is not a number: \"" + value + "\"");
    }
    return Long.parseLong(value);
  }

  /** Returns an option or its default. */
  public String text(String name, String defaultValue) {
    return options.getOrDefault(name, defaultValue);
  }

  /** Returns an option as a truth value, or its default. */
  public boolean flag(String name, boolean defaultValue) {
    return Boolean.parseBoolean(text(name, String.valueOf(defaultValue)));
  }

  /** Checks that only the given options are used. */
  public void requireOptions(Set<String> allowed) {
    for (String name : options.keySet()) {
      if (!allowed.contains(name)) {
        throw error("unknown option \"" + name + "\"; allowed: " + allowed);
      }
    }
  }

  /** Returns an error that names the place of the line. */
  public IllegalArgumentException error(String message) {
    return new IllegalArgumentException(place + ": " + message);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder().append(atMilliseconds).append(' ').append(verb);
    words.forEach(word -> text.append(' ').append(word));
    options.forEach((name, value) -> text.append(' ').append(name).append('=').append(value));
    return text.toString();
  }
}
