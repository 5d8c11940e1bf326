package org.flamingochute.decision.settings;

import java.util.List;

/**
 * An INI text as sections of uninterpreted keys and values.
 *
 * @param source where the text comes from, for error messages: a file name or a patch
 * @param sections the sections, in the order of the text; no name is repeated
 */
public record SettingsDocument(String source, List<SettingsSection> sections) {

  /** Copies the sections. */
  public SettingsDocument {
    sections = List.copyOf(sections);
  }
}
