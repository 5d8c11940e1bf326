package org.flamingochute.decision.maintenance;

import java.util.List;
import org.flamingochute.decision.identity.PoolId;

/**
 * The input from which moves are planned.
 *
 * @param pools the pools between which instances may move, all of one kind
 * @param instances their instances
 * @param sparePool the pool that lends only if no other pool can, and is refilled first
 */
public record MoveInput(List<PoolDemand> pools, List<PoolInstance> instances, PoolId sparePool) {

  /** Copies the lists. */
  public MoveInput {
    pools = List.copyOf(pools);
    instances = List.copyOf(instances);
  }
}
