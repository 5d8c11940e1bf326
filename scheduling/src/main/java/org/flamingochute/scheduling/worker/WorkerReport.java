package org.flamingochute.scheduling.worker;

import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;

/**
 * The record that a worker writes about itself to the platform's store.
 *
 * @param key the worker's incarnation
 * @param pool pool that it belongs to
 * @param address IP address and port
 * @param dataCentre data centre of the worker
 * @param capacity total capacity for tasks
 * @param labels kind and rack of the worker, in this order
 * @param draining true when the worker is about to leave
 * @param coldUntil time of the steady clock until which the worker is slow after its start, or
 *     {@link #WARM}
 */
public record WorkerReport(
    WorkerKey key,
    PoolId pool,
    String address,
    DataCentreId dataCentre,
    ResourceVector capacity,
    List<String> labels,
    boolean draining,
    long coldUntil) {

  /** Time until which a worker is cold that reports no such time; before all times of the clock. */
  public static final long WARM = Long.MIN_VALUE;

  private static final int RACK_LABEL = 1;

  /** Creates the report of a worker that is not cold. */
  public WorkerReport(
      WorkerKey key,
      PoolId pool,
      String address,
      DataCentreId dataCentre,
      ResourceVector capacity,
      List<String> labels,
      boolean draining) {
    this(key, pool, address, dataCentre, capacity, labels, draining, WARM);
  }

  /** Copies the list. */
  public WorkerReport {
    labels = List.copyOf(labels);
  }

  /** Returns a copy of this report for another incarnation of the same worker. */
  public WorkerReport ofIncarnation(WorkerKey incarnation) {
    return new WorkerReport(incarnation, pool, address, dataCentre, capacity, labels, draining);
  }

  /** Returns a copy of this report with another time until which the worker is cold. */
  public WorkerReport withColdUntil(long until) {
    return new WorkerReport(key, pool, address, dataCentre, capacity, labels, draining, until);
  }

  /** Returns whether another report says the same except how long the worker is cold. */
  public boolean differsInColdTimeOnly(WorkerReport other) {
    return coldUntil != other.coldUntil && withColdUntil(other.coldUntil).equals(other);
  }

  /** Returns the rack, or empty if the worker does not report it. */
  public Optional<String> rack() {
    return labels.size() > RACK_LABEL ? Optional.of(labels.get(RACK_LABEL)) : Optional.empty();
  }
}
