package org.flamingochute.decision.settings;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The kind of a section and the keys that it may have, derived from the schema.
 *
 * <p>A message field of the root message corresponds to one section with the name of the field. A
 * map from strings to messages corresponds to any number of named sections, whose kind is the
 * message's name without {@code Section}: {@code map<string, PoolSection>} corresponds to {@code
 * [pool name]}.
 */
final class SectionSchema {

  private static final String MESSAGE_SUFFIX = "Section";

  private final FieldDescriptor field;
  private final Descriptor message;
  private final String kind;
  private final List<SettingKey> keys;

  private SectionSchema(FieldDescriptor field, Descriptor message, String kind) {
    this.field = field;
    this.message = message;
    this.kind = kind;
    this.keys = message.getFields().stream().map(SettingKey::new).toList();
  }

  /** Returns the section kinds of the root message, in the order of its fields. */
  static List<SectionSchema> of(Descriptor root) {
    List<SectionSchema> sections = new ArrayList<>();
    for (FieldDescriptor field : root.getFields()) {
      if (field.getJavaType() != FieldDescriptor.JavaType.MESSAGE) {
        continue;
      }
      sections.add(of(field));
    }
    return sections;
  }

  private static SectionSchema of(FieldDescriptor field) {
    if (!field.isMapField()) {
      return new SectionSchema(field, field.getMessageType(), field.getName());
    }
    Descriptor message = field.getMessageType().findFieldByName("value").getMessageType();
    String name = message.getName();
    if (name.endsWith(MESSAGE_SUFFIX)) {
      name = name.substring(0, name.length() - MESSAGE_SUFFIX.length());
    }
    return new SectionSchema(field, message, name.toLowerCase(Locale.ROOT));
  }

  /** Returns the field of the root message. */
  FieldDescriptor field() {
    return field;
  }

  /** Returns the message of one section. */
  Descriptor message() {
    return message;
  }

  /** Returns the first word of the section's header. */
  String kind() {
    return kind;
  }

  /** Returns whether the header has a name after the kind. */
  boolean isNamed() {
    return field.isMapField();
  }

  /** Returns the keys in the order of the schema. */
  List<SettingKey> keys() {
    return keys;
  }

  /** Returns the key of the given name. */
  Optional<SettingKey> key(String name) {
    return keys.stream().filter(key -> key.name().equals(name)).findFirst();
  }

  /** Returns whether the section has a required key. */
  boolean hasRequiredKey() {
    return keys.stream().anyMatch(key -> key.rule().getRequired());
  }
}
