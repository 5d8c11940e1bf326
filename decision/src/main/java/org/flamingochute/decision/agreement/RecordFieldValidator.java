package org.flamingochute.decision.agreement;

import java.util.Optional;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.identity.Identifiers;

/** Validates the fields of a record and stores the refusal for the first invalid one. */
final class RecordFieldValidator {

  private static final int MAXIMUM_SHOWN_CHARACTERS = 80;

  private final long offset;
  private ApplyResult refusal;

  RecordFieldValidator(ApplyPosition position) {
    this.offset = position.offset();
  }

  /** Requires that a field is a valid identifier. */
  RecordFieldValidator requireIdentifier(String field, String value) {
    if (refusal == null && !Identifiers.isValid(value)) {
      refusal =
          ApplyResults.refused(
              ErrorCode.RECORD_FIELD, offset, field, shorten(value), "not an identifier");
    }
    return this;
  }

  /** Requires that a field is empty or a valid identifier. */
  RecordFieldValidator requireOptionalIdentifier(String field, String value) {
    return value.isEmpty() ? this : requireIdentifier(field, value);
  }

  /** Requires that a condition on a field holds. */
  RecordFieldValidator require(String field, Object value, boolean condition, String reason) {
    if (refusal == null && !condition) {
      refusal = ApplyResults.refused(ErrorCode.RECORD_FIELD, offset, field, value, reason);
    }
    return this;
  }

  /** Returns the refusal for the first invalid field, if any. */
  Optional<ApplyResult> refusal() {
    return Optional.ofNullable(refusal);
  }

  private static String shorten(String value) {
    return value.length() <= MAXIMUM_SHOWN_CHARACTERS
        ? value
        : value.substring(0, MAXIMUM_SHOWN_CHARACTERS);
  }
}
