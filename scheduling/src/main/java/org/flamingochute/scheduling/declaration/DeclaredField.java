package org.flamingochute.scheduling.declaration;

import java.util.Arrays;
import java.util.List;

/** The fields of a declaration that nodes read. */
public enum DeclaredField {
  VERSION(EntryKind.DECLARATION, ValueType.WHOLE_NUMBER, true),
  MAXIMUM_BODY_BYTES(EntryKind.DECLARATION, ValueType.COUNT, false),
  QUEUE_NAME(EntryKind.QUEUE, ValueType.IDENTIFIER, true),
  HOST(EntryKind.QUEUE, ValueType.TEXT, false),
  PATH_PREFIX(EntryKind.QUEUE, ValueType.TEXT, true),
  QUEUE_POOL(EntryKind.QUEUE, ValueType.TEXT, true),
  TIMEOUT(EntryKind.QUEUE, ValueType.WHOLE_NUMBER, false),
  KEYLESS(EntryKind.QUEUE, ValueType.FLAG, false),
  PRIORITY(EntryKind.QUEUE, ValueType.COUNT, false),
  MAXIMUM_ATTEMPTS(EntryKind.QUEUE, ValueType.COUNT, false),
  SLACK_FACTOR(EntryKind.QUEUE, ValueType.DECIMAL, false),
  OBJECTIVE(EntryKind.QUEUE, ValueType.WHOLE_NUMBER, false),
  POOL_NAME(EntryKind.POOL, ValueType.IDENTIFIER, true),
  ENFORCES_CAPACITY(EntryKind.POOL, ValueType.FLAG, false),
  STANDBY(EntryKind.POOL, ValueType.FLAG, false),
  TEAM_NAME(EntryKind.TEAM, ValueType.IDENTIFIER, true),
  API_KEYS(EntryKind.TEAM, ValueType.SECRETS, false),
  WEIGHT(EntryKind.TEAM, ValueType.DECIMAL, false),
  CAP_PROCESSOR(EntryKind.TEAM, ValueType.WHOLE_NUMBER, false),
  CAP_MEMORY(EntryKind.TEAM, ValueType.WHOLE_NUMBER, false),
  CAP_ACCELERATORS(EntryKind.TEAM, ValueType.WHOLE_NUMBER, false);

  /** Types of values. */
  public enum ValueType {
    TEXT,
    /** A text that is a valid name. */
    IDENTIFIER,
    /** An integer of 64 bits. */
    WHOLE_NUMBER,
    /** An integer of 32 bits. */
    COUNT,
    DECIMAL,
    FLAG,
    /** A list of texts that must not be shown. */
    SECRETS
  }

  private final EntryKind kind;
  private final ValueType type;
  private final boolean required;

  DeclaredField(EntryKind kind, ValueType type, boolean required) {
    this.kind = kind;
    this.type = type;
    this.required = required;
  }

  /** Returns the fields of a kind of entry. */
  public static List<DeclaredField> of(EntryKind kind) {
    return Arrays.stream(values()).filter(field -> field.kind == kind).toList();
  }

  /** Returns the type of the field's values. */
  public ValueType type() {
    return type;
  }

  /** Returns whether nodes refuse a declaration without this field. */
  public boolean isRequired() {
    return required;
  }
}
