package org.flamingochute.decision.settings;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/**
 * Reads INI text into a message of the schema and collects all errors.
 *
 * <p>Used both for the settings of a process, where each section is a field of the root message,
 * and for fleet descriptions, where most sections are named entries of maps.
 *
 * @param <M> the root message, for example {@code EntrySettings}
 */
public final class SettingsReader<M extends Message> {

  /** Pattern for the name after the kind in a section header. */
  public static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

  private static final Pattern NAME = Pattern.compile(NAME_PATTERN);

  private final M root;
  private final List<SectionSchema> schemas;

  /**
   * Creates a reader.
   *
   * @param root the default instance of the root message
   */
  public SettingsReader(M root) {
    this.root = root;
    this.schemas = SectionSchema.of(root.getDescriptorForType());
  }

  /**
   * Reads a text.
   *
   * @param source the name of the file, for error messages
   * @param text the content of the file
   * @return the message, with defaults for absent keys, or all errors of the text
   */
  public Either<List<ErrorReport>, M> read(String source, String text) {
    List<ErrorReport> errors = new ArrayList<>();
    SettingsDocument document = new IniTextParser(source, errors::add).parse(text);
    return readSections(document, errors);
  }

  /** Reads a document that is already split into sections. */
  public Either<List<ErrorReport>, M> read(SettingsDocument document) {
    return readSections(document, new ArrayList<>());
  }

  private Either<List<ErrorReport>, M> readSections(
      SettingsDocument document, List<ErrorReport> errors) {
    Message.Builder builder = root.newBuilderForType();
    Set<String> presentKinds = new HashSet<>();
    for (SettingsSection section : document.sections()) {
      presentKinds.add(section.name().kind());
      readSection(document.source(), section, builder, errors);
    }
    for (SectionSchema schema : schemas) {
      if (!schema.isNamed() && !presentKinds.contains(schema.kind())) {
        addAbsentSection(document.source(), schema, builder, errors);
      }
    }
    if (!errors.isEmpty()) {
      return Either.left(List.copyOf(errors));
    }
    return Either.right(cast(builder.build()));
  }

  private void readSection(
      String source, SettingsSection section, Message.Builder builder, List<ErrorReport> errors) {
    Optional<SectionSchema> schema = schemaOf(section.name());
    if (schema.isEmpty()) {
      errors.add(ErrorReport.of(ErrorCode.SETTINGS_UNKNOWN_SECTION, source, section.name()));
      return;
    }
    String name = section.name().name();
    if (schema.get().isNamed() && !NAME.matcher(name).matches()) {
      errors.add(
          ErrorReport.of(ErrorCode.SETTINGS_BAD_NAME, source, section.name(), name, NAME_PATTERN));
    }
    Message message = new SectionReader(schema.get(), source, errors::add).read(section);
    addSection(schema.get(), name, message, builder);
  }

  private Optional<SectionSchema> schemaOf(SectionName name) {
    for (SectionSchema schema : schemas) {
      boolean nameMatches = schema.isNamed() || name.name().isEmpty();
      if (schema.kind().equals(name.kind()) && nameMatches) {
        return Optional.of(schema);
      }
    }
    return Optional.empty();
  }

  private void addAbsentSection(
      String source, SectionSchema schema, Message.Builder builder, List<ErrorReport> errors) {
    if (schema.hasRequiredKey()) {
      errors.add(ErrorReport.of(ErrorCode.SETTINGS_MISSING_SECTION, source, schema.kind()));
      return;
    }
    SettingsSection empty = new SettingsSection(new SectionName(schema.kind(), ""), List.of());
    addSection(schema, "", new SectionReader(schema, source, errors::add).read(empty), builder);
  }

  private static void addSection(
      SectionSchema schema, String name, Message message, Message.Builder builder) {
    if (!schema.isNamed()) {
      builder.setField(
          schema.field(), convert(builder.newBuilderForField(schema.field()), message));
      return;
    }
    Message.Builder entry = builder.newBuilderForField(schema.field());
    FieldDescriptor key = schema.field().getMessageType().findFieldByName("key");
    FieldDescriptor value = schema.field().getMessageType().findFieldByName("value");
    entry.setField(key, name);
    entry.setField(value, convert(entry.newBuilderForField(value), message));
    builder.addRepeatedField(schema.field(), entry.build());
  }

  private static Message convert(Message.Builder builder, Message message) {
    try {
      return builder.mergeFrom(message.toByteString()).build();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("a message of the same schema was refused", e);
    }
  }

  @SuppressWarnings("unchecked")
  private M cast(Message message) {
    return (M) message;
  }
}
