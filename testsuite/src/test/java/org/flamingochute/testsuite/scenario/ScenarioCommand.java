package org.flamingochute.testsuite.scenario;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One line of a faults or calls section: a time, a verb, positional arguments and {@code key=value}
 * options.
 *
 * <p>Example: {@code 100 request order service=proofs every=50 repeat=10}.
 */
public final class ScenarioCommand {

  private final String location;
  private final long atMilliseconds;
  private final String verb;
  private final List<String> words;
  private final Map<String, String> options;

  private ScenarioCommand(
      String location,
      long atMilliseconds,
      String verb,
      List<String> words,
      Map<String, String> options) {
    this.location = location;
    this.atMilliseconds = atMilliseconds;
    this.verb = verb;
    this.words = words;
    this.options = options;
  }

  /**
   * Parses a line.
   *
   * @param location file and section for error messages
   * @throws IllegalArgumentException if the line has no time or no verb
   */
  public static ScenarioCommand parse(String location, String line) {
    String[] parts = line.trim().split("\\s+");
    if (parts.length < 2 || !parts[0].matches("[0-9]+")) {
      throw new IllegalArgumentException(
          location + ": expected a time and a verb: \"" + line + "\"");
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
    return new ScenarioCommand(location, Long.parseLong(parts[0]), parts[1], words, options);
  }

  /** Returns the time in milliseconds since the start of the scenario. */
  public long atMilliseconds() {
    return atMilliseconds;
  }

  /** Returns the verb. */
  public String verb() {
    return verb;
  }

  /** Returns the positional arguments after the verb. */
  public List<String> words() {
    return words;
  }

  /** Returns the positional argument at an index. */
  public String word(int index) {
    if (index >= words.size()) {
      throw error("requires " + (index + 1) + " arguments after " + verb);
    }
    return words.get(index);
  }

  /** Returns the positional argument at an index as a number. */
  public long number(int index) {
    String word = word(index);
    if (!word.matches("-?[0-9]+")) {
      throw error("\"" + word + "\" is not a number");
    }
    return Long.parseLong(word);
  }

  /** Returns an option as a number, or the default value if it is absent. */
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

  /** Returns an option, or the default value if it is absent. */
  public String option(String name, String defaultValue) {
    return options.getOrDefault(name, defaultValue);
  }

  /** Returns whether an option is {@code true}, or the default value if it is absent. */
  public boolean booleanOption(String name, boolean defaultValue) {
    return Boolean.parseBoolean(option(name, String.valueOf(defaultValue)));
  }

  /**
   * Checks that the command has no options but the given ones.
   *
   * @throws IllegalArgumentException if it has another option
   */
  public void rejectOptionsExcept(Set<String> allowed) {
    for (String name : options.keySet()) {
      if (!allowed.contains(name)) {
        throw error("unknown option \"" + name + "\"; allowed: " + allowed);
      }
    }
  }

  /** Creates an exception whose message includes the location of the line. */
  public IllegalArgumentException error(String message) {
    return new IllegalArgumentException(location + ": " + message);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder().append(atMilliseconds).append(' ').append(verb);
    words.forEach(word -> text.append(' ').append(word));
    options.forEach((name, value) -> text.append(' ').append(name).append('=').append(value));
    return text.toString();
  }
}
