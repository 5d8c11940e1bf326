package org.flamingochute.experiment.model;

import java.util.List;
import org.flamingochute.decision.placement.ResourceVector;

/**
 * The fleet of one company at its present size.
 *
 * @param name the short name of the company
 * @param entryCount number of entry instances
 * @param runnersPerService number of runners of each service
 * @param workersPerPool number of workers of each pool
 * @param sparePoolSize number of instances of the spare pool
 * @param workerCapacity resources of one worker
 * @param teamShares the share of each team, with the large teams first
 */
public record Company(
    String name,
    int entryCount,
    List<Integer> runnersPerService,
    List<Integer> workersPerPool,
    int sparePoolSize,
    ResourceVector workerCapacity,
    List<Integer> teamShares) {

  /** Number of requests that a runner processes concurrently. */
  public static final int SLOTS_PER_RUNNER = 8;

  /** Maximum number of connections that a runner accepts. */
  public static final int CONNECTIONS_PER_RUNNER = 64;

  /** Number of instances in one rack. */
  public static final int INSTANCES_PER_RACK = 4;

  /** Number of data centres in the region. */
  public static final int DATA_CENTRE_COUNT = 3;

  /** One-way latency of every message between instances. */
  public static final double ONE_WAY_LATENCY_MILLISECONDS = 1;

  /** Returns the fleets of both companies. */
  public static List<Company> all() {
    return List.of(rueda(), repuestos());
  }

  /** Returns the fleet of Rueda Quetzal. */
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

  /** Returns the fleet of Repuestos Ferroviarios del Litoral. */
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
