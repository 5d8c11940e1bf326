package org.flamingochute.scheduling.duration;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.Map;
import org.flamingochute.schema.scheduling.QueuedStep;

/**
 * Learns the durations of tasks by queue and image, and uses them where they predict better than
 * the submitted estimates.
 *
 * <p>Long-running steps are excluded: their tasks end when they are stopped.
 */
public final class LearnedDurations implements DurationModel {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Images in use at one time are fewer; the limit bounds the memory at about 1 MB. */
  static final int MAXIMUM_IMAGES = 500;

  private static final long LOG_INTERVAL_MILLISECONDS = 1_000;
  private static final float LOAD_FACTOR = 0.75f;

  /** Tasks that behave alike; the image may be empty. */
  private record ImageKey(String queue, String image) {
    private ImageKey(QueuedStep step, String queue) {
      this(queue, step.getImage());
    }
  }

  /** In the order of their last use. */
  private final Map<ImageKey, ImageDurations> images = new LinkedHashMap<>(16, LOAD_FACTOR, true);

  private long version;
  private long predictorChanges;

  /** Image whose predictor changed last, until that is logged; null if there is none. */
  private ImageKey changed;

  private long loggedAt = Long.MIN_VALUE / 2;

  @Override
  public long expectedMilliseconds(QueuedStep step, String queue) {
    ImageDurations durations = step.getLongRunning() ? null : images.get(new ImageKey(step, queue));
    return durations == null
        ? step.getEstimateMilliseconds()
        : durations.expectedMilliseconds(step.getEstimateMilliseconds());
  }

  @Override
  public void observe(QueuedStep step, String queue, long milliseconds) {
    if (step.getLongRunning()) {
      return;
    }
    ImageKey key = new ImageKey(step, queue);
    ImageDurations durations = images.get(key);
    if (durations == null) {
      durations = new ImageDurations();
      images.put(key, durations);
      dropLeastRecentlyUsed();
    }
    final Predictor before = durations.predictor();
    if (durations.observe(step.getEstimateMilliseconds(), milliseconds)) {
      version++;
    }
    if (durations.predictor() != before) {
      changed = key;
      predictorChanges++;
    }
  }

  private void dropLeastRecentlyUsed() {
    if (images.size() > MAXIMUM_IMAGES) {
      ImageKey first = images.keySet().iterator().next();
      if (images.remove(first).predictor() != Predictor.ESTIMATE) {
        version++;
        predictorChanges++;
      }
    }
  }

  @Override
  public long version() {
    return version;
  }

  @Override
  public long predictorChanges() {
    return predictorChanges;
  }

  @Override
  public void logChanges(long now) {
    if (changed == null || now - loggedAt < LOG_INTERVAL_MILLISECONDS) {
      return;
    }
    ImageDurations durations = images.get(changed);
    if (durations != null) {
      logger.atInfo().log(
          "event=duration_learned queue=%s image=%s predictor=%s mean_ms=%d factor=%.2f"
              + " error_of_estimate=%.2f error=%.2f images=%d",
          changed.queue(),
          changed.image(),
          durations.predictor(),
          durations.meanMilliseconds(),
          durations.factor(),
          durations.error(Predictor.ESTIMATE),
          durations.error(durations.predictor()),
          images.size());
      loggedAt = now;
    }
    changed = null;
  }

  /** Returns the number of images with observed durations. */
  int imageCount() {
    return images.size();
  }
}
