package org.flamingochute.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.settings.SettingEntry;
import org.flamingochute.decision.settings.SettingsSection;
import org.flamingochute.decision.settings.SettingsWriter;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.SettingChange;

/**
 * Shows changes for people, one a line, with the value before. Example: {@code set [team rosario]
 * cap = 12 (was 10)}.
 */
final class ChangeListing {

  private ChangeListing() {}

  /** Returns the lines. */
  static String of(FleetDescription before, List<SettingChange> changes) {
    Map<String, String> oldValues = valuesOf(before);
    StringBuilder text = new StringBuilder();
    for (SettingChange change : changes) {
      text.append(lineOf(change, oldValues)).append('\n');
    }
    return text.toString();
  }

  private static Map<String, String> valuesOf(FleetDescription description) {
    Map<String, String> values = new HashMap<>();
    for (SettingsSection section : SettingsWriter.document("", description).sections()) {
      for (SettingEntry entry : section.entries()) {
        values.put(section.name() + "/" + entry.key(), entry.value());
      }
    }
    return values;
  }

  private static String lineOf(SettingChange change, Map<String, String> oldValues) {
    String name = change.getSectionName();
    String section = change.getSectionKind() + (name.isEmpty() ? "" : " " + name);
    if (change.getKey().isEmpty()) {
      return "remove [" + section + "]";
    }
    String old = oldValues.get(section + "/" + change.getKey());
    String was = old == null ? "" : " (was " + old + ")";
    if (!change.hasValue()) {
      return "remove [" + section + "] " + change.getKey() + was;
    }
    return "set [" + section + "] " + change.getKey() + " = " + change.getValue() + was;
  }
}
