package org.flamingochute.testsuite.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A scenario, parsed from its descriptor file.
 *
 * @param name name of the file
 * @param header the settings of the scenario: entries, runners, workers, duration, seed
 * @param fleet the fleet description in force from the start
 * @param faults faults to inject, by time
 * @param calls actions of callers and operators, by time
 * @param expectations conditions that are checked in addition to the promises
 */
public record ScenarioDescriptor(
    String name,
    ScenarioHeader header,
    String fleet,
    List<ScenarioCommand> faults,
    List<ScenarioCommand> calls,
    List<String> expectations) {

  private static final String SECTION_PREFIX = "=== ";

  /**
   * Parses a descriptor. Lines that start with {@code #} are comments; {@code === name} starts a
   * section, which is one of scenario, fleet, faults, calls and expect.
   *
   * @throws IllegalArgumentException if the text is invalid; the message includes the location
   */
  public static ScenarioDescriptor parse(String name, String text) {
    Map<String, List<String>> sections = new TreeMap<>();
    List<String> current = null;
    int lineNumber = 0;
    for (String line : text.split("\n")) {
      lineNumber++;
      if (line.startsWith(SECTION_PREFIX)) {
        current = new ArrayList<>();
        String section = line.substring(SECTION_PREFIX.length()).trim();
        if (!List.of("scenario", "fleet", "faults", "calls", "expect").contains(section)) {
          throw new IllegalArgumentException(
              name + ":" + lineNumber + ": unknown section \"" + section + "\"");
        }
        sections.put(section, current);
        continue;
      }
      if (line.isBlank() || line.startsWith("#")) {
        continue;
      }
      if (current == null) {
        throw new IllegalArgumentException(
            name + ":" + lineNumber + ": text before the first section: \"" + line + "\"");
      }
      current.add(line);
    }
    ScenarioHeader header =
        ScenarioHeader.parse(name, sections.getOrDefault("scenario", List.of()));
    String fleet =
        sections.containsKey("fleet")
            ? String.join("\n", sections.get("fleet"))
            : ScenarioFiles.readFleetDescription(header.fleet());
    return new ScenarioDescriptor(
        name,
        header,
        fleet,
        parseCommands(name + " [faults]", sections.getOrDefault("faults", List.of())),
        parseCommands(name + " [calls]", sections.getOrDefault("calls", List.of())),
        sections.getOrDefault("expect", List.of()));
  }

  private static List<ScenarioCommand> parseCommands(String location, List<String> lines) {
    return lines.stream().map(line -> ScenarioCommand.parse(location, line)).toList();
  }

  @Override
  public String toString() {
    return name;
  }
}
