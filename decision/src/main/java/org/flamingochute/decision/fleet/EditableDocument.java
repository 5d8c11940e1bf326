package org.flamingochute.decision.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.settings.SectionName;
import org.flamingochute.decision.settings.SettingEntry;
import org.flamingochute.decision.settings.SettingsDocument;
import org.flamingochute.decision.settings.SettingsSection;
import org.flamingochute.schema.SettingChange;

/** The sections of a description, to which the changes of a patch are applied. */
final class EditableDocument {

  private final Map<SectionName, Map<String, String>> sections = new LinkedHashMap<>();

  EditableDocument(SettingsDocument document) {
    for (SettingsSection section : document.sections()) {
      Map<String, String> entries = new LinkedHashMap<>();
      for (SettingEntry entry : section.entries()) {
        entries.put(entry.key(), entry.value());
      }
      sections.put(section.name(), entries);
    }
  }

  /**
   * Applies one change; returns an error if it is invalid. A change without a value removes the
   * key, or the whole section if the key is empty.
   */
  Optional<ErrorReport> apply(SettingChange change) {
    SectionName name = new SectionName(change.getSectionKind(), change.getSectionName());
    if (change.hasValue()) {
      return set(name, change.getKey(), change.getValue());
    }
    if (!sections.containsKey(name)) {
      return invalid(name, change, "there is no such section to remove from");
    }
    if (change.getKey().isEmpty()) {
      sections.remove(name);
    } else {
      sections.get(name).remove(change.getKey());
    }
    return Optional.empty();
  }

  private Optional<ErrorReport> set(SectionName name, String key, String value) {
    sections.computeIfAbsent(name, absent -> new LinkedHashMap<>()).put(key, value);
    return Optional.empty();
  }

  private static Optional<ErrorReport> invalid(
      SectionName name, SettingChange change, String reason) {
    return Optional.of(
        FleetRule.invalid(name.kind(), name.name(), change.getKey(), change.getValue(), reason));
  }

  /** Returns the current sections as a document. */
  SettingsDocument document(String source) {
    List<SettingsSection> result = new ArrayList<>();
    sections.forEach((name, entries) -> result.add(new SettingsSection(name, toEntries(entries))));
    return new SettingsDocument(source, result);
  }

  private static List<SettingEntry> toEntries(Map<String, String> entries) {
    List<SettingEntry> result = new ArrayList<>();
    entries.forEach((key, value) -> result.add(new SettingEntry(key, value)));
    return result;
  }
}
