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
public final class Declarations {

  /** The value of a key in a section from a point in time on; null after its removal. */
  private record Declared(long atMilliseconds, String section, String key, String value) {}

  private final List<Declared> history = new ArrayList<>();

  /** Parses the initial fleet description. */
  public Declarations(String fleetText) {
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
        history.add(new Declared(0, section, key, text.substring(equals + 1).trim()));
      }
    }
  }

  /** Adds an accepted change. */
  public void accepted(long atMilliseconds, SettingChange change) {
    String section = change.getSectionKind() + " " + change.getSectionName();
    if (!change.getKey().isEmpty()) {
      String value = change.hasValue() ? change.getValue() : null;
      history.add(new Declared(atMilliseconds, section, change.getKey(), value));
      return;
    }
    for (Declared declared : List.copyOf(history)) {
      if (declared.section().equals(section)) {
        history.add(new Declared(atMilliseconds, section, declared.key(), null));
      }
    }
  }

  /** Returns the value of a key at a point in time, or the default value if it was absent. */
  public String valueAt(long atMilliseconds, String section, String key, String defaultValue) {
    String found = defaultValue;
    for (Declared declared : history) {
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

  /** Returns the largest numeric value of a key within a time interval. */
  public long largestWithin(
      long fromMilliseconds, long toMilliseconds, String section, String key) {
    long largest = Long.parseLong(valueAt(Math.max(0, fromMilliseconds), section, key, "0"));
    for (Declared declared : history) {
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

  /** Returns the smallest numeric value of a key within a time interval. */
  public long smallestWithin(
      long fromMilliseconds, long toMilliseconds, String section, String key) {
    long smallest = Long.parseLong(valueAt(Math.max(0, fromMilliseconds), section, key, "0"));
    for (Declared declared : history) {
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
  public boolean wasEverGranted(String digest) {
    for (Declared declared : history) {
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
   * Returns the time in milliseconds at which each team key was revoked, by the digest of the key.
   */
  public Map<String, Long> withdrawals() {
    Map<String, Long> withdrawals = new HashMap<>();
    Map<String, String> digestOfSection = new HashMap<>();
    for (Declared declared : history) {
      if (!declared.section().startsWith("key ") || !declared.key().equals("digest")) {
        continue;
      }
      if (declared.value() == null) {
        withdrawals.put(digestOfSection.get(declared.section()), declared.atMilliseconds());
      } else {
        digestOfSection.put(declared.section(), declared.value());
      }
    }
    return withdrawals;
  }
}
