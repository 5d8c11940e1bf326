package org.flamingochute.scheduling.interference;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Exponentially weighted means of a quantity by worker, and their median.
 *
 * <p>The median gives each worker one vote, so that a single bad worker, which may supply most of
 * the samples, does not determine the result.
 */
final class WorkerMeans {
  /** Weight of the samples from which the mean of a worker is used. */
  private static final double MINIMUM_WEIGHT = 2;

  /** Weight of the samples of these workers together from which the median is used. */
  private static final double MINIMUM_TOTAL_WEIGHT = 6;

  /** Number of workers from which the median is used. */
  private static final int MINIMUM_WORKERS = 2;

  /**
   * Share of the minimum weights down to which known medians are still used, which prevents that
   * they alternate between known and unknown.
   */
  private static final double RETENTION_SHARE = 0.5;

  /** Weight below which a worker's samples are forgotten. */
  private static final double NEGLIGIBLE_WEIGHT = 0.05;

  private static final class Mean {
    private double weight;
    private double value;
    private long observedAt;

    private double weightAt(long now, long halfLifeMilliseconds) {
      return weight * Math.pow(0.5, (double) (now - observedAt) / halfLifeMilliseconds);
    }
  }

  private final long halfLifeMilliseconds;
  private final int maximumWorkers;
  private final Map<InstanceId, Mean> means = new LinkedHashMap<>();
  private int knownWorkers;
  private boolean known;
  private double lowerMedian;
  private double upperMedian;

  WorkerMeans(long halfLifeMilliseconds, int maximumWorkers) {
    this.halfLifeMilliseconds = halfLifeMilliseconds;
    this.maximumWorkers = maximumWorkers;
  }

  /** Adds a sample, unless samples of enough other workers are recent. */
  void observe(InstanceId worker, double value, double weight, long now) {
    Mean mean = means.get(worker);
    if (mean == null) {
      if (means.size() >= maximumWorkers && !removeStale(now)) {
        return;
      }
      mean = new Mean();
      mean.observedAt = now;
      means.put(worker, mean);
    }
    double sum = mean.weightAt(now, halfLifeMilliseconds) + weight;
    mean.value += weight / sum * (value - mean.value);
    mean.weight = sum;
    mean.observedAt = now;
  }

  /** Removes the worker with the oldest sample if that is older than the half-life. */
  private boolean removeStale(long now) {
    InstanceId oldest = null;
    long oldestAt = now - halfLifeMilliseconds;
    for (Map.Entry<InstanceId, Mean> entry : means.entrySet()) {
      if (entry.getValue().observedAt < oldestAt) {
        oldest = entry.getKey();
        oldestAt = entry.getValue().observedAt;
      }
    }
    return oldest != null && means.remove(oldest) != null;
  }

  /** Recomputes the medians, and forgets workers without recent samples. */
  void update(long now) {
    means.values().removeIf(mean -> mean.weightAt(now, halfLifeMilliseconds) < NEGLIGIBLE_WEIGHT);
    double[] values = new double[means.size()];
    double requiredShare = known ? RETENTION_SHARE : 1;
    double totalWeight = 0;
    knownWorkers = 0;
    for (Mean mean : means.values()) {
      double weight = mean.weightAt(now, halfLifeMilliseconds);
      if (weight >= requiredShare * MINIMUM_WEIGHT) {
        totalWeight += weight;
        values[knownWorkers++] = mean.value;
      }
    }
    known = knownWorkers >= MINIMUM_WORKERS && totalWeight >= requiredShare * MINIMUM_TOTAL_WEIGHT;
    if (known) {
      Arrays.sort(values, 0, knownWorkers);
      lowerMedian = values[(knownWorkers - 1) / 2];
      upperMedian = values[knownWorkers / 2];
    }
  }

  /** Returns whether there were enough samples of enough workers at the last update. */
  boolean isKnown() {
    return known;
  }

  boolean isEmpty() {
    return means.isEmpty();
  }

  int knownWorkers() {
    return knownWorkers;
  }

  /** Returns the value that at least half of the known workers reach. */
  double lowerMedian() {
    return lowerMedian;
  }

  /** Returns the value that at least half of the known workers do not exceed. */
  double upperMedian() {
    return upperMedian;
  }

  double median() {
    return (lowerMedian + upperMedian) / 2;
  }

  /** Returns the mean of one worker, if it has enough samples. */
  OptionalDouble meanOf(InstanceId worker, long now) {
    Mean mean = means.get(worker);
    boolean isUsable = mean != null && mean.weightAt(now, halfLifeMilliseconds) >= MINIMUM_WEIGHT;
    return isUsable ? OptionalDouble.of(mean.value) : OptionalDouble.empty();
  }
}
