package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.schema.SettingChange;

/**
 * The configuration that operators declared, by time. It is built from the scenario's fleet
 * description and the accepted patches, with a parser that is independent of the system's own.
 */
public final class ConfigurationHistory {

  /** The value of a key in a section from a point in time on; null after its removal. */
  private record DeclaredValue(long atMilliseconds, String section, String key, String value) {}

  private final List<DeclaredValue> history = new ArrayList<>();

  /** Parses the initial fleet description. */
  public ConfigurationHistory(String fleetText) {
    String section = "";
    for (String line : fleetText.split("\n")) {
      String text = line.trim();
      if (text.startsWith("[")) {
        section = text.substring(1, text.length() - 1);
        continue;
      }
      int equals = text.indexOf('=');
      if (equals > 0) {
        String key = text.substring(0, equals).trim();
        history.add(new DeclaredValue(0, section, key, text.substring(equals + 1).trim()));
      }
    }
  }

  /** Adds an accepted change; one without a key removes the whole section. */
  public void addAcceptedChange(long atMilliseconds, SettingChange change) {
    String section = change.getSectionKind() + " " + change.getSectionName();
    if (!change.getKey().isEmpty()) {
      String value = change.hasValue() ? change.getValue() : null;
      history.add(new DeclaredValue(atMilliseconds, section, change.getKey(), value));
      return;
    }
    for (DeclaredValue declared : List.copyOf(history)) {
      if (declared.section().equals(section)) {
        history.add(new DeclaredValue(atMilliseconds, section, declared.key(), null));
      }
    }
  }

  /** Returns the value of a key at a point in time, or the default value if it was absent. */
  public String valueAt(long atMilliseconds, String section, String key, String defaultValue) {
    String found = defaultValue;
    for (DeclaredValue declared : history) {
      boolean applies =
          declared.section().equals(section)
              && declared.key().equals(key)
              && declared.atMilliseconds() <= atMilliseconds;
      if (applies) {
        found = declared.value() == null ? defaultValue : declared.value();
      }
    }
    return found;
  }

  /**
   * Returns the largest of the value of a key at the start of a time interval, or 0 if it was
   * absent then, and the values that were declared in the interval.
   */
  public long largestValueBetween(
      long fromMilliseconds, long toMilliseconds, String section, String key) {
    long largest = Long.parseLong(valueAt(Math.max(0, fromMilliseconds), section, key, "0"));
    for (DeclaredValue declared : history) {
      boolean applies =
          declared.section().equals(section)
              && declared.key().equals(key)
              && declared.value() != null
              && declared.atMilliseconds() >= fromMilliseconds
              && declared.atMilliseconds() <= toMilliseconds;
      if (applies) {
        largest = Math.max(largest, Long.parseLong(declared.value()));
      }
    }
    return largest;
  }

  /**
   * Returns the smallest of the value of a key at the start of a time interval, or 0 if it was
   * absent then, and the values that were declared in the interval.
   */
  public long smallestValueBetween(
      long fromMilliseconds, long toMilliseconds, String section, String key) {
    long smallest = Long.parseLong(valueAt(Math.max(0, fromMilliseconds), section, key, "0"));
    for (DeclaredValue declared : history) {
      boolean applies =
          declared.section().equals(section)
              && declared.key().equals(key)
              && declared.value() != null
              && declared.atMilliseconds() >= fromMilliseconds
              && declared.atMilliseconds() <= toMilliseconds;
      if (applies) {
        smallest = Math.min(smallest, Long.parseLong(declared.value()));
      }
    }
    return smallest;
  }

  /** Returns whether a key with this digest was declared at any time. */
  public boolean wasKeyEverDeclared(String digest) {
    for (DeclaredValue declared : history) {
      boolean grants =
          declared.section().startsWith("key ")
              && declared.key().equals("digest")
              && digest.equals(declared.value());
      if (grants) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the time in milliseconds at which each team key was last removed, by the digest of the
   * key. A key whose digest was replaced is not included.
   */
  public Map<String, Long> keyRevocationTimes() {
    Map<String, Long> revocationTimes = new HashMap<>();
    Map<String, String> digestOfSection = new HashMap<>();
    for (DeclaredValue declared : history) {
      if (!declared.section().startsWith("key ") || !declared.key().equals("digest")) {
        continue;
      }
      if (declared.value() == null) {
        revocationTimes.put(digestOfSection.get(declared.section()), declared.atMilliseconds());
      } else {
        digestOfSection.put(declared.section(), declared.value());
      }
    }
    return revocationTimes;
  }
}
