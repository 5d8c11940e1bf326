package org.flamingochute.scheduling.interference;

import org.flamingochute.decision.identity.InstanceId;

/**
 * Effect of one filler image on the tail latency of one serving image: the rise that one filler at
 * full pace causes, relative to the target.
 */
final class FillerEffect {
  /** Interference changes within seconds to minutes. */
  private static final long HALF_LIFE_MILLISECONDS = 15_000;

  private static final int MAXIMUM_WORKERS = 16;

  /** Effect from which a pair interferes. */
  private static final double INTERFERING_FROM = 0.2;

  /** Effect down to which an interfering pair goes on to count as such. */
  private static final double INTERFERING_UNTIL = 0.15;

  /** Effect up to which a pair is harmless. */
  private static final double HARMLESS_FROM = 0.08;

  /** Effect up to which a harmless pair goes on to count as such. */
  private static final double HARMLESS_UNTIL = 0.12;

  /** Intensity below which the effect cannot be told from noise. */
  private static final double MINIMUM_INTENSITY = 0.1;

  private final WorkerMeans effects = new WorkerMeans(HALF_LIFE_MILLISECONDS, MAXIMUM_WORKERS);
  private InterferenceLevel level = InterferenceLevel.UNKNOWN;

  /**
   * Adds a sample.
   *
   * @param rise rise of the tail above the usual one that is due to this filler image
   * @param intensity intensity of the fillers of this image
   */
  void observe(InstanceId worker, double rise, double intensity, long now) {
    if (intensity >= MINIMUM_INTENSITY) {
      effects.observe(worker, rise / intensity, Math.min(1, intensity), now);
    }
  }

  /** Updates the level; returns whether it has changed. */
  boolean update(long now) {
    effects.update(now);
    InterferenceLevel before = level;
    level = classify(before);
    return level != before;
  }

  private InterferenceLevel classify(InterferenceLevel before) {
    if (!effects.isKnown()) {
      return InterferenceLevel.UNKNOWN;
    }
    boolean wasInterfering = before == InterferenceLevel.INTERFERING;
    if (effects.lowerMedian() >= (wasInterfering ? INTERFERING_UNTIL : INTERFERING_FROM)) {
      return InterferenceLevel.INTERFERING;
    }
    boolean wasHarmless = before == InterferenceLevel.HARMLESS;
    if (effects.upperMedian() <= (wasHarmless ? HARMLESS_UNTIL : HARMLESS_FROM)) {
      return InterferenceLevel.HARMLESS;
    }
    return InterferenceLevel.UNKNOWN;
  }

  InterferenceLevel level() {
    return level;
  }

  boolean isKnown() {
    return effects.isKnown();
  }

  boolean isEmpty() {
    return effects.isEmpty();
  }

  /** Returns the effect at full pace; only meaningful while it is known. */
  double value() {
    return effects.median();
  }

  int knownWorkers() {
    return effects.knownWorkers();
  }
}
