package org.flamingochute.decision.settings;

import java.util.List;

/**
 * One section of an INI text.
 *
 * @param name the section's name
 * @param entries the entries in the order of the text, with unique keys
 */
public record SettingsSection(SectionName name, List<SettingEntry> entries) {

  /** Copies the entries. */
  public SettingsSection {
    entries = List.copyOf(entries);
  }
}
