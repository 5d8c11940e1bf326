package org.flamingochute.control;

import org.flamingochute.schema.SettingChange;

/** Creates changes to single sections. */
final class SectionChanges {

  private SectionChanges() {}

  /** Returns the change that sets one value. */
  static SettingChange set(String kind, String name, String key, String value) {
    return SettingChange.newBuilder()
        .setSectionKind(kind)
        .setSectionName(name)
        .setKey(key)
        .setValue(value)
        .build();
  }

  /** Returns the change that removes a section. */
  static SettingChange removeSection(String kind, String name) {
    return SettingChange.newBuilder().setSectionKind(kind).setSectionName(name).build();
  }
}
