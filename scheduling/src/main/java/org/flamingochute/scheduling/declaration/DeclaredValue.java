package org.flamingochute.scheduling.declaration;

import java.util.Set;

/** The value of a field. */
public sealed interface DeclaredValue {
  /** An integer. */
  record WholeNumber(long value) implements DeclaredValue {}

  /** A floating-point number. */
  record Decimal(double value) implements DeclaredValue {}

  /** A text. */
  record Text(String value) implements DeclaredValue {}

  /** True or false. */
  record Flag(boolean value) implements DeclaredValue {}

  /** API keys, which must not be shown. */
  record Secrets(Set<String> values) implements DeclaredValue {
    /** Copies the keys. */
    public Secrets {
      values = Set.copyOf(values);
    }

    /** Returns the number of keys, so that no message shows them by mistake. */
    @Override
    public String toString() {
      return values.size() + " secrets";
    }
  }
}
