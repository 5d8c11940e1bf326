package org.flamingochute.decision.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.settings.SectionName;
import org.flamingochute.decision.settings.SettingEntry;
import org.flamingochute.decision.settings.SettingsDocument;
import org.flamingochute.decision.settings.SettingsSection;
import org.flamingochute.decision.settings.SettingsWriter;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.SettingChange;

/**
 * Computes the changes that turn one description into another.
 *
 * <p>Both are written in canonical form and compared key by key. Example: the difference between
 * {@code [team a] share = 1} and {@code [team a] share = 2} is one change; a section that is absent
 * from the second description is one removal of the whole section.
 */
public final class FleetDifference {

  private FleetDifference() {}

  /**
   * Returns the changes that {@link FleetPatcher} needs to turn {@code before} into {@code after}.
   */
  public static List<SettingChange> between(FleetDescription before, FleetDescription after) {
    Map<SectionName, Map<String, String>> old = entriesBySection(before);
    Map<SectionName, Map<String, String>> target = entriesBySection(after);
    List<SettingChange> changes = new ArrayList<>();
    for (SectionName section : old.keySet()) {
      if (!target.containsKey(section)) {
        changes.add(removal(section, ""));
      }
    }
    target.forEach(
        (section, entries) ->
            compareSection(section, old.getOrDefault(section, Map.of()), entries, changes));
    return List.copyOf(changes);
  }

  private static void compareSection(
      SectionName section,
      Map<String, String> old,
      Map<String, String> target,
      List<SettingChange> changes) {
    for (String key : old.keySet()) {
      if (!target.containsKey(key)) {
        changes.add(removal(section, key));
      }
    }
    target.forEach(
        (key, value) -> {
          if (!value.equals(old.get(key))) {
            changes.add(newChange(section, key).setValue(value).build());
          }
        });
  }

  private static SettingChange removal(SectionName section, String key) {
    return newChange(section, key).build();
  }

  private static SettingChange.Builder newChange(SectionName section, String key) {
    return SettingChange.newBuilder()
        .setSectionKind(section.kind())
        .setSectionName(section.name())
        .setKey(key);
  }

  private static Map<SectionName, Map<String, String>> entriesBySection(
      FleetDescription description) {
    SettingsDocument document = SettingsWriter.document("", description);
    Map<SectionName, Map<String, String>> sections = new LinkedHashMap<>();
    for (SettingsSection section : document.sections()) {
      Map<String, String> entries = new LinkedHashMap<>();
      for (SettingEntry entry : section.entries()) {
        entries.put(entry.key(), entry.value());
      }
      sections.put(section.name(), entries);
    }
    return sections;
  }
}
