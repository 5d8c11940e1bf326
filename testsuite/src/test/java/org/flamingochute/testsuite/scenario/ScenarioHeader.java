package org.flamingochute.testsuite.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * The settings of a scenario, from its scenario section.
 *
 * @param fleet name of a fleet description under resources/fleets, used if there is no fleet
 *     section
 * @param entries names of the entries to start
 * @param instances runners and workers, each written {@code name@pool/data-centre/rack}
 * @param durationMilliseconds duration of the scenario in virtual time
 * @param seed the seed from which a random scenario was generated; the execution does not use it
 */
public record ScenarioHeader(
    String fleet,
    List<String> entries,
    List<InstanceSpecification> instances,
    long durationMilliseconds,
    long seed) {

  private static final long DEFAULT_DURATION_MILLISECONDS = 30_000;
  private static final String DEFAULT_RUNNERS =
      "p1@proofs/dc1/r1 p2@proofs/dc2/r2 p3@proofs/dc3/r3"
          + " q1@quotes/dc1/r1 q2@quotes/dc2/r2 q3@quotes/dc3/r3";
  private static final String DEFAULT_WORKERS = "w1@print/dc1/r1 w2@print/dc2/r2 w3@print/dc3/r3";

  /**
   * One runner or worker of a scenario.
   *
   * @param kind {@code runner} or {@code worker}
   */
  public record InstanceSpecification(
      String kind, String name, String pool, String dataCentre, String rack) {}

  /** Parses lines of the form {@code key = value}. */
  static ScenarioHeader parse(String file, List<String> lines) {
    List<String> entries = List.of("a", "b", "c");
    String runners = DEFAULT_RUNNERS;
    String workers = DEFAULT_WORKERS;
    String fleet = "standard";
    long duration = DEFAULT_DURATION_MILLISECONDS;
    long seed = 1;
    for (String line : lines) {
      String[] parts = line.split("=", 2);
      if (parts.length != 2) {
        throw new IllegalArgumentException(file + ": expected key = value: \"" + line + "\"");
      }
      String value = parts[1].trim();
      switch (parts[0].trim()) {
        case "entries" -> entries = List.of(value.split("\\s+"));
        case "runners" -> runners = value;
        case "workers" -> workers = value;
        case "fleet" -> fleet = value;
        case "duration" -> duration = Long.parseLong(value);
        case "seed" -> seed = Long.parseLong(value);
        default ->
            throw new IllegalArgumentException(file + ": unknown key \"" + parts[0].trim() + "\"");
      }
    }
    List<InstanceSpecification> instances = new ArrayList<>();
    addInstances(file, "runner", runners, instances);
    addInstances(file, "worker", workers, instances);
    return new ScenarioHeader(fleet, entries, List.copyOf(instances), duration, seed);
  }

  private static void addInstances(
      String file, String kind, String value, List<InstanceSpecification> instances) {
    for (String word : value.split("\\s+")) {
      String[] parts = word.split("[@/]");
      if (parts.length != 4) {
        throw new IllegalArgumentException(
            file + ": expected name@pool/data-centre/rack: \"" + word + "\"");
      }
      instances.add(new InstanceSpecification(kind, parts[0], parts[1], parts[2], parts[3]));
    }
  }
}
