package org.flamingochute.decision.fleet;

import org.flamingochute.schema.InstanceKind;

/** The values of the key {@code kind} of a pool. */
public final class PoolKinds {

  /** A pool of runners, which serve interactive requests. */
  public static final String RUNNER = "runner";

  /** A pool of workers, which run jobs. */
  public static final String WORKER = "worker";

  private PoolKinds() {}

  /** Returns whether an instance of the given kind can belong to a pool of the given kind. */
  public static boolean isCompatible(InstanceKind instanceKind, String poolKind) {
    return switch (instanceKind) {
      case INSTANCE_RUNNER -> poolKind.equals(RUNNER);
      case INSTANCE_WORKER -> poolKind.equals(WORKER);
      default -> false;
    };
  }
}
