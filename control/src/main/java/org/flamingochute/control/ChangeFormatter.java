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
 * Formats changes as text, one per line, with the previous value. Example: {@code set [team
 * rosario] cap = 12 (was 10)}.
 */
final class ChangeFormatter {

  private ChangeFormatter() {}

  /** Returns one line per change, each ending with a line break. */
  static String format(FleetDescription before, List<SettingChange> changes) {
    Map<String, String> oldValues = readValues(before);
    StringBuilder text = new StringBuilder();
    for (SettingChange change : changes) {
      text.append(formatChange(change, oldValues)).append('\n');
    }
    return text.toString();
  }

  private static Map<String, String> readValues(FleetDescription description) {
    Map<String, String> values = new HashMap<>();
    for (SettingsSection section : SettingsWriter.document("", description).sections()) {
      for (SettingEntry entry : section.entries()) {
        values.put(section.name() + "/" + entry.key(), entry.value());
      }
    }
    return values;
  }

  private static String formatChange(SettingChange change, Map<String, String> oldValues) {
    String name = change.getSectionName();
    String section = change.getSectionKind() + (name.isEmpty() ? "" : " " + name);
    if (change.getKey().isEmpty()) {
      return "remove [" + section + "]";
    }
    String oldValue = oldValues.get(section + "/" + change.getKey());
    String previousValue = oldValue == null ? "" : " (was " + oldValue + ")";
    if (!change.hasValue()) {
      return "remove [" + section + "] " + change.getKey() + previousValue;
    }
    return "set [" + section + "] " + change.getKey() + " = " + change.getValue() + previousValue;
  }
}
