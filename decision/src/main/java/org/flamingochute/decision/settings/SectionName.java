package org.flamingochute.decision.settings;

/**
 * The name of a section of an INI text: {@code [kind]} or {@code [kind name]}.
 *
 * @param kind the kind of section, for example {@code pool}
 * @param name the name within the kind; empty if the kind has only one section
 */
public record SectionName(String kind, String name) {

  /** Parses the text between the brackets; the first space separates kind and name. */
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
