package org.flamingochute.decision.settings;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Writes a message of the schema as canonical INI text.
 *
 * <p>In canonical text the sections are in the order of the schema and then of their names, and the
 * keys in the order of the schema; only keys that are required or differ from their default are
 * written. Equal messages have equal texts, so the text can be compared and kept under version
 * control.
 */
public final class SettingsWriter {

  private SettingsWriter() {}

  /** Returns the canonical text of a message. */
  public static String write(Message root) {
    StringBuilder text = new StringBuilder();
    for (SettingsSection section : document("", root).sections()) {
      if (!text.isEmpty()) {
        text.append('\n');
      }
      text.append('[').append(section.name()).append("]\n");
      for (SettingEntry entry : section.entries()) {
        text.append(entry.key()).append(" = ").append(entry.value()).append('\n');
      }
    }
    return text.toString();
  }

  /** Returns the canonical sections of a message. */
  public static SettingsDocument document(String source, Message root) {
    List<SettingsSection> sections = new ArrayList<>();
    for (SectionSchema schema : SectionSchema.of(root.getDescriptorForType())) {
      if (schema.isNamed()) {
        addNamed(schema, root, sections);
      } else {
        addSingle(schema, root, sections);
      }
    }
    return new SettingsDocument(source, sections);
  }

  private static void addSingle(
      SectionSchema schema, Message root, List<SettingsSection> sections) {
    if (!root.hasField(schema.field())) {
      return;
    }
    Message message = (Message) root.getField(schema.field());
    SettingsSection section = createSection(schema, new SectionName(schema.kind(), ""), message);
    if (!section.entries().isEmpty()) {
      sections.add(section);
    }
  }

  private static void addNamed(SectionSchema schema, Message root, List<SettingsSection> sections) {
    FieldDescriptor key = schema.field().getMessageType().findFieldByName("key");
    FieldDescriptor value = schema.field().getMessageType().findFieldByName("value");
    TreeMap<String, Message> byName = new TreeMap<>();
    for (Object item : (List<?>) root.getField(schema.field())) {
      Message entry = (Message) item;
      byName.put((String) entry.getField(key), (Message) entry.getField(value));
    }
    byName.forEach(
        (name, message) ->
            sections.add(createSection(schema, new SectionName(schema.kind(), name), message)));
  }

  private static SettingsSection createSection(
      SectionSchema schema, SectionName name, Message message) {
    List<SettingEntry> entries = new ArrayList<>();
    for (SettingKey key : schema.keys()) {
      String value = key.format(message.getField(key.field()));
      boolean isDefault = value.equals(key.rule().getDefaultValue());
      if (key.rule().getRequired() || !isDefault) {
        entries.add(new SettingEntry(key.name(), value));
      }
    }
    return new SettingsSection(name, entries);
  }
}
