package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.schema.SettingChange;

/**
 * What operators declared, read from the text of the scenario and from the patches that operators
 * were told are accepted. It has its own reading of both, apart from the system's.
 */
public final class Declarations {

  /** A value that a key of a section has from a time on; null after its removal. */
  private record Declared(long atMilliseconds, String section, String key, String value) {}

  private final List<Declared> history = new ArrayList<>();

  /** Reads the first description. */
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

  /** Adds a change that was accepted. */
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

  /** Returns the value of a key at a time, or the default when it was absent. */
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

  /** Returns the largest number that a key had within a span of time. */
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

  /** Returns the smallest number that a key had within a span of time. */
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

  /** Tells whether a key with the digest was part of the description at any time. */
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

  /** Returns the times at which keys of teams were removed, by the digest of the key. */
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
