package org.flamingochute.decision.agreement;

import java.util.Optional;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.identity.Identifiers;

/** Checks the identifiers of a record before they become value types, and keeps the first fault. */
final class FieldCheck {

  private static final int SHOWN_CHARACTERS = 80;

  private final long offset;
  private FoldResult refusal;

  FieldCheck(FoldPosition position) {
    this.offset = position.offset();
  }

  /** Requires a field to hold an identifier. */
  FieldCheck identifier(String field, String value) {
    if (refusal == null && !Identifiers.isValid(value)) {
      refusal =
          FoldResults.refused(
              ErrorCode.RECORD_FIELD, offset, field, shorten(value), "not an identifier");
    }
    return this;
  }

  /** Requires a field to be empty or to hold an identifier. */
  FieldCheck optionalIdentifier(String field, String value) {
    return value.isEmpty() ? this : identifier(field, value);
  }

  /** Requires a condition on a field. */
  FieldCheck require(String field, Object value, boolean condition, String reason) {
    if (refusal == null && !condition) {
      refusal = FoldResults.refused(ErrorCode.RECORD_FIELD, offset, field, value, reason);
    }
    return this;
  }

  /** Returns the refusal for the first fault. */
  Optional<FoldResult> refusal() {
    return Optional.ofNullable(refusal);
  }

  private static String shorten(String value) {
    return value.length() <= SHOWN_CHARACTERS ? value : value.substring(0, SHOWN_CHARACTERS);
  }
}
