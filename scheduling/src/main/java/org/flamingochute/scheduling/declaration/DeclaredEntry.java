package org.flamingochute.scheduling.declaration;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/**
 * One entry of a declaration.
 *
 * @param name identifies the entry
 * @param values the fields with values of the right type; absent optional fields have the values
 *     that nodes use instead, and fields that cannot be decoded have none
 */
public record DeclaredEntry(EntryName name, Map<DeclaredField, DeclaredValue> values) {
  /** Copies the values. */
  public DeclaredEntry {
    values = Map.copyOf(values);
  }

  Optional<DeclaredValue> value(DeclaredField field) {
    return Optional.ofNullable(values.get(field));
  }

  OptionalDouble number(DeclaredField field) {
    return switch (values.get(field)) {
      case DeclaredValue.WholeNumber number -> OptionalDouble.of(number.value());
      case DeclaredValue.Decimal number -> OptionalDouble.of(number.value());
      case null, default -> OptionalDouble.empty();
    };
  }

  OptionalLong wholeNumber(DeclaredField field) {
    return values.get(field) instanceof DeclaredValue.WholeNumber number
        ? OptionalLong.of(number.value())
        : OptionalLong.empty();
  }

  Optional<String> text(DeclaredField field) {
    return values.get(field) instanceof DeclaredValue.Text text
        ? Optional.of(text.value())
        : Optional.empty();
  }

  boolean isSet(DeclaredField field) {
    return values.get(field) instanceof DeclaredValue.Flag flag && flag.value();
  }

  Set<String> secrets(DeclaredField field) {
    return values.get(field) instanceof DeclaredValue.Secrets secrets ? secrets.values() : Set.of();
  }
}
