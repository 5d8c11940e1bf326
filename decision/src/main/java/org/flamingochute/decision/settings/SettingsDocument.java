package org.flamingochute.decision.settings;

import java.util.List;

/**
 * An INI text as sections of unparsed keys and values.
 *
 * @param source the source of the text, for error messages: a file name or a patch
 * @param sections the sections in the order of the text, with unique names
 */
public record SettingsDocument(String source, List<SettingsSection> sections) {

  /** Copies the sections. */
  public SettingsDocument {
    sections = List.copyOf(sections);
  }
}
