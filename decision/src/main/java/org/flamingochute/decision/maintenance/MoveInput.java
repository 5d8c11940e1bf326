package org.flamingochute.decision.maintenance;

import java.util.List;
import org.flamingochute.decision.identity.PoolId;

/**
 * The state that moves are planned from.
 *
 * @param pools the pools that take part, all of one kind
 * @param instances their instances
 * @param sparePool the pool that lends last of all
 */
public record MoveInput(List<PoolDemand> pools, List<PoolInstance> instances, PoolId sparePool) {

  /** Copies the lists. */
  public MoveInput {
    pools = List.copyOf(pools);
    instances = List.copyOf(instances);
  }
}
