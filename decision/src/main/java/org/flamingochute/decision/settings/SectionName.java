package org.flamingochute.decision.settings;

/**
 * Names one section of an INI text: {@code [kind]} or {@code [kind name]}.
 *
 * @param kind the kind of section, for example {@code pool}
 * @param name the name among the sections of the kind; empty when the kind has only one section
 */
public record SectionName(String kind, String name) {

  /** Parses the text between the brackets; the first space ends the kind. */
  public static SectionName parse(String header) {
    String trimmed = header.strip();
    int space = trimmed.indexOf(' ');
    if (space < 0) {
      return new SectionName(trimmed, "");
    }
    return new SectionName(trimmed.substring(0, space), trimmed.substring(space + 1).strip());
  }

  /** Returns the text between the brackets. */
  @Override
  public String toString() {
    return name.isEmpty() ? kind : kind + " " + name;
  }
}
