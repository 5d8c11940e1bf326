package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.schema.InstanceMoved;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.PoolAction;
import org.flamingochute.testsuite.observation.Observation;

/**
 * Counts the available instances of the pool whenever the platform is asked to drain one. Instances
 * that were lost within the detection delay still count as available, because the system cannot
 * have detected the loss yet.
 */
public final class AvailabilityChecker implements PromiseChecker {

  private static final long REACTION_MILLISECONDS = 4_000;

  @Override
  public String promise() {
    return "Availability budgets hold through drains, waves and the shrink.";
  }

  @Override
  public List<String> violations(Evidence evidence) {
    Count count = new Count(evidence);
    for (Observation observation : evidence.journal().all()) {
      count.take(observation);
    }
    return count.violations;
  }

  private static final class Count {

    private final Evidence evidence;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> lostSince = new HashMap<>();
    private final Set<String> stopped = new HashSet<>();

    Count(Evidence evidence) {
      this.evidence = evidence;
    }

    void take(Observation observation) {
      switch (observation) {
        case Observation.InstanceChanged changed -> {
          if (changed.state() == InstanceState.INSTANCE_LIVE) {
            lostSince.remove(changed.instance());
          } else {
            lostSince.putIfAbsent(changed.instance(), changed.atMilliseconds());
          }
        }
        case Observation.PoolActionBegan began -> {
          if (began.action() == PoolAction.POOL_DRAIN) {
            stopped.add(began.instance());
            judge(began);
          }
          if (began.action() == PoolAction.POOL_RETURN) {
            stopped.remove(began.instance());
          }
        }
        default -> {}
      }
    }

    private void judge(Observation.PoolActionBegan began) {
      long at = began.atMilliseconds();
      String pool = poolAt(began.instance(), at);
      long minimum =
          evidence
              .declarations()
              .smallestWithin(at - REACTION_MILLISECONDS, at, "pool " + pool, "minimum_available");
      long available =
          evidence.instances().keySet().stream()
              .filter(instance -> poolAt(instance, at).equals(pool))
              .filter(instance -> isAvailable(instance, at))
              .count();
      boolean wasAvailable = !isKnownLost(began.instance(), at);
      if (wasAvailable && available < minimum) {
        violations.add(
            "at "
                + at
                + " ms the drain of "
                + began.instance()
                + " leaves "
                + available
                + " of pool "
                + pool
                + ", minimum "
                + minimum);
      }
    }

    private boolean isAvailable(String instance, long at) {
      return !stopped.contains(instance) && !isKnownLost(instance, at);
    }

    private boolean isKnownLost(String instance, long at) {
      Long since = lostSince.get(instance);
      return since != null && at > since + REACTION_MILLISECONDS + evidence.listLagMilliseconds();
    }

    private String poolAt(String instance, long at) {
      String pool = evidence.instances().get(instance).firstPool();
      for (Evidence.TimedRecord timed : evidence.logRecords()) {
        InstanceMoved moved = timed.record().getInstanceMoved();
        boolean applies =
            timed.atMilliseconds() <= at
                && timed.record().hasInstanceMoved()
                && moved.getInstance().equals(instance)
                && moved.getFromPool().equals(pool);
        if (applies) {
          pool = moved.getToPool();
        }
      }
      return pool;
    }
  }
}
