package org.flamingochute.experiment.model;

import java.util.List;
import org.flamingochute.decision.placement.ResourceVector;

/**
 * The fleet of one company at today's size.
 *
 * @param name its short name
 * @param entries entry instances
 * @param runnersPerService runners of each service
 * @param workersPerPool workers of each pool
 * @param sparePool instances of the spare pool
 * @param worker what one worker has
 * @param shares the share of each team; the first ones are large
 */
public record Company(
    String name,
    int entries,
    List<Integer> runnersPerService,
    List<Integer> workersPerPool,
    int sparePool,
    ResourceVector worker,
    List<Integer> shares) {

  /** Requests that a runner works on at once. */
  public static final int SLOTS = 8;

  /** Connections that a runner accepts. */
  public static final int CONNECTIONS = 64;

  /** Instances in one rack. */
  public static final int RACK_SIZE = 4;

  /** Data centres of the region. */
  public static final int DATA_CENTRES = 3;

  /** Time of a message between data centres, one way. */
  public static final double ONE_WAY_MILLISECONDS = 1;

  /** Returns both companies. */
  public static List<Company> all() {
    return List.of(rueda(), repuestos());
  }

  /** Returns Rueda Quetzal. */
  public static Company rueda() {
    return new Company(
        "rueda",
        7,
        List.of(6, 7, 8, 9, 7),
        List.of(6, 7, 8, 9),
        6,
        new ResourceVector(32_000, 65_536, 0),
        List.of(6, 4, 2, 1, 1, 1));
  }

  /** Returns Repuestos Ferroviarios del Litoral. */
  public static Company repuestos() {
    return new Company(
        "repuestos",
        9,
        List.of(9, 8, 6, 7, 9),
        List.of(9, 8, 7, 6),
        6,
        new ResourceVector(64_000, 131_072, 0),
        List.of(5, 5, 3, 1, 1, 1));
  }
}
