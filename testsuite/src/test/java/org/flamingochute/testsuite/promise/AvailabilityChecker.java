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
 * Checks, whenever the platform begins to drain an instance, that enough other instances of its
 * pool are available. The required number is the smallest that was declared within the detection
 * delay.
 *
 * <p>An instance that was lost or began to leave within the detection delay and the lag of the
 * instance list still counts as available, because the system cannot have detected that yet. The
 * drain of an instance that was unavailable before that is not checked, because it does not reduce
 * the number of available instances.
 */
public final class AvailabilityChecker implements PromiseChecker {

  private static final long DETECTION_DELAY_MILLISECONDS = 4_000;

  @Override
  public String promise() {
    return "Availability budgets hold through drains, waves and the shrink.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    AvailabilityTracker tracker = new AvailabilityTracker(result);
    for (Observation observation : result.journal().all()) {
      tracker.process(observation);
    }
    return tracker.violations;
  }

  private static final class AvailabilityTracker {

    private final ScenarioResult result;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> unavailableSince = new HashMap<>();
    private final Set<String> drained = new HashSet<>();

    AvailabilityTracker(ScenarioResult result) {
      this.result = result;
    }

    void process(Observation observation) {
      switch (observation) {
        case Observation.InstanceChanged changed -> {
          if (changed.state() == InstanceState.INSTANCE_LIVE) {
            unavailableSince.remove(changed.instance());
          } else {
            unavailableSince.putIfAbsent(changed.instance(), changed.atMilliseconds());
          }
        }
        case Observation.PoolActionStarted started -> {
          if (started.action() == PoolAction.POOL_DRAIN) {
            drained.add(started.instance());
            checkDrain(started);
          }
          if (started.action() == PoolAction.POOL_RETURN) {
            drained.remove(started.instance());
          }
        }
        default -> {}
      }
    }

    private void checkDrain(Observation.PoolActionStarted drain) {
      long at = drain.atMilliseconds();
      String pool = poolAt(drain.instance(), at);
      long minimum =
          result
              .configurationHistory()
              .smallestValueBetween(
                  at - DETECTION_DELAY_MILLISECONDS, at, "pool " + pool, "minimum_available");
      long available =
          result.instances().keySet().stream()
              .filter(instance -> poolAt(instance, at).equals(pool))
              .filter(instance -> isAvailable(instance, at))
              .count();
      boolean wasAvailable = !isDetectedUnavailable(drain.instance(), at);
      if (wasAvailable && available < minimum) {
        violations.add(
            "at "
                + at
                + " ms the drain of "
                + drain.instance()
                + " leaves "
                + available
                + " of pool "
                + pool
                + ", minimum "
                + minimum);
      }
    }

    private boolean isAvailable(String instance, long at) {
      return !drained.contains(instance) && !isDetectedUnavailable(instance, at);
    }

    private boolean isDetectedUnavailable(String instance, long at) {
      Long since = unavailableSince.get(instance);
      return since != null
          && at > since + DETECTION_DELAY_MILLISECONDS + result.listLagMilliseconds();
    }

    private String poolAt(String instance, long at) {
      String pool = result.instances().get(instance).firstPool();
      for (ScenarioResult.TimedRecord timed : result.logRecords()) {
        InstanceMoved moved = timed.record().getInstanceMoved();
        boolean applies =
            timed.appendedAtMilliseconds() <= at
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
