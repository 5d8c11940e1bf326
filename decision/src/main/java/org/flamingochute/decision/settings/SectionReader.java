package org.flamingochute.decision.settings;

import com.google.protobuf.DynamicMessage;
import com.google.protobuf.Message;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.error.ErrorReporter;

/**
 * Reads one section into its message, with default values for absent keys. An empty value of a
 * required key counts as absent.
 */
final class SectionReader {

  private final SectionSchema schema;
  private final String source;
  private final ErrorReporter errors;

  SectionReader(SectionSchema schema, String source, ErrorReporter errors) {
    this.schema = schema;
    this.source = source;
    this.errors = errors;
  }

  /** Returns the section's message; keys with errors are reported and omitted. */
  Message read(SettingsSection section) {
    DynamicMessage.Builder builder = DynamicMessage.newBuilder(schema.message());
    Set<String> presentKeys = new HashSet<>();
    for (SettingEntry entry : section.entries()) {
      if (isEmptyButRequired(entry)) {
        continue;
      }
      presentKeys.add(entry.key());
      readEntry(section.name(), entry, builder);
    }
    for (SettingKey key : schema.keys()) {
      if (!presentKeys.contains(key.name())) {
        readDefault(section.name(), key, builder);
      }
    }
    return builder.build();
  }

  private boolean isEmptyButRequired(SettingEntry entry) {
    return entry.value().isEmpty()
        && schema.key(entry.key()).filter(key -> key.rule().getRequired()).isPresent();
  }

  private void readEntry(SectionName section, SettingEntry entry, Message.Builder builder) {
    Optional<SettingKey> key = schema.key(entry.key());
    if (key.isEmpty()) {
      errors.report(
          ErrorReport.of(
              ErrorCode.SETTINGS_UNKNOWN_KEY, source, section, entry.key(), entry.value()));
      return;
    }
    setValue(key.get(), key.get().parse(source, section, entry.value()), builder);
  }

  private void readDefault(SectionName section, SettingKey key, Message.Builder builder) {
    if (key.rule().getRequired()) {
      errors.report(ErrorReport.of(ErrorCode.SETTINGS_MISSING_KEY, source, section, key.name()));
      return;
    }
    if (!key.rule().getDefaultValue().isEmpty()) {
      setValue(key, key.parse(source, section, key.rule().getDefaultValue()), builder);
    }
  }

  private void setValue(
      SettingKey key, Either<ErrorReport, Object> parsed, Message.Builder builder) {
    parsed.peekLeft(errors::report);
    parsed.peek(value -> builder.setField(key.field(), value));
  }
}
