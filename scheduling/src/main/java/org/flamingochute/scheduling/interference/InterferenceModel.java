package org.flamingochute.scheduling.interference;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.misc.LogText;

/**
 * Learns which filler images raise the tail latency of which serving images on the same worker.
 *
 * <p>A pair without enough recent samples is unknown, so a model that gets no samples answers that
 * for every pair. Memory is bounded: images beyond the limits are not learned until others are
 * forgotten.
 */
public final class InterferenceModel {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int MAXIMUM_SERVING_IMAGES = 256;
  private static final int MAXIMUM_PAIRS = 512;
  private static final long UPDATE_INTERVAL_MILLISECONDS = 500;
  private static final int MAXIMUM_LOG_LINES_PER_UPDATE = 5;

  /** Highest ratio that counts, so that one extreme tail does not outweigh many usual ones. */
  private static final double MAXIMUM_TAIL_RATIO = 3;

  /** What is known about one serving image. */
  private static final class ServingImage {
    private final UsualTail usualTail = new UsualTail();
    private final Map<String, FillerEffect> effects = new HashMap<>();
  }

  private final Map<String, ServingImage> servingImages = new HashMap<>();
  private int pairCount;
  private long updatedAt = Long.MIN_VALUE / 2;

  /**
   * Adds a tail latency that a serving task has reported.
   *
   * @param image image of the serving task
   * @param worker its worker
   * @param tailRatio ratio of the tail latency to its target
   * @param fillers fillers that ran on the worker while the tail was measured, one for each image
   */
  public void observe(
      String image, InstanceId worker, double tailRatio, List<FillerIntensity> fillers, long now) {
    boolean isFull =
        servingImages.size() >= MAXIMUM_SERVING_IMAGES && !servingImages.containsKey(image);
    if (image.isEmpty() || isFull) {
      return;
    }
    ServingImage serving = servingImages.computeIfAbsent(image, name -> new ServingImage());
    double limitedRatio = Math.min(tailRatio, MAXIMUM_TAIL_RATIO);
    if (fillers.isEmpty()) {
      serving.usualTail.observe(worker, limitedRatio, now);
    } else if (serving.usualTail.isKnown()) {
      observeBesideFillers(serving, worker, limitedRatio, fillers, now);
    }
  }

  /**
   * Attributes the rise above the usual tail to each filler image, as far as the known effects of
   * the others do not explain it. While two are unknown, nothing can be attributed.
   *
   * <p>If all are known, what their effects do not explain is a sample of the usual tail. Without
   * it, nothing would be known any more soon after all workers have fillers.
   */
  private void observeBesideFillers(
      ServingImage serving,
      InstanceId worker,
      double tailRatio,
      List<FillerIntensity> fillers,
      long now) {
    double explained = 0;
    int unknownCount = 0;
    for (FillerIntensity filler : fillers) {
      FillerEffect effect = serving.effects.get(filler.image());
      if (effect != null && effect.isKnown()) {
        explained += effect.value() * filler.intensity();
      } else {
        unknownCount++;
      }
    }
    if (unknownCount > 1) {
      return;
    }
    double unexplained = tailRatio - serving.usualTail.on(worker, now) - explained;
    for (FillerIntensity filler : fillers) {
      Optional<FillerEffect> found = findOrAdd(serving, filler.image());
      if (found.isEmpty() || unknownCount == 1 && found.get().isKnown()) {
        continue;
      }
      FillerEffect effect = found.get();
      double explainedByOwn = effect.isKnown() ? effect.value() * filler.intensity() : 0;
      effect.observe(worker, unexplained + explainedByOwn, filler.intensity(), now);
    }
    if (unknownCount == 0) {
      serving.usualTail.observeDerived(worker, tailRatio - explained, now);
    }
  }

  /** Returns the effect of a filler image; empty if it has no name or memory is full. */
  private Optional<FillerEffect> findOrAdd(ServingImage serving, String fillerImage) {
    FillerEffect known = serving.effects.get(fillerImage);
    if (known != null) {
      return Optional.of(known);
    }
    if (fillerImage.isEmpty() || pairCount >= MAXIMUM_PAIRS) {
      return Optional.empty();
    }
    FillerEffect added = new FillerEffect();
    serving.effects.put(fillerImage, added);
    pairCount++;
    return Optional.of(added);
  }

  /** Updates the levels of all pairs if that is due, and forgets pairs without recent samples. */
  public void update(long now) {
    if (now - updatedAt < UPDATE_INTERVAL_MILLISECONDS) {
      return;
    }
    updatedAt = now;
    int logLines = 0;
    Iterator<Map.Entry<String, ServingImage>> entries = servingImages.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, ServingImage> entry = entries.next();
      ServingImage serving = entry.getValue();
      serving.usualTail.update(now);
      logLines = updateEffects(entry.getKey(), serving, now, logLines);
      if (serving.effects.isEmpty() && serving.usualTail.isEmpty()) {
        entries.remove();
      }
    }
  }

  private int updateEffects(String image, ServingImage serving, long now, int logLinesBefore) {
    int logLines = logLinesBefore;
    Iterator<Map.Entry<String, FillerEffect>> entries = serving.effects.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, FillerEffect> entry = entries.next();
      FillerEffect effect = entry.getValue();
      if (effect.update(now) && logLines < MAXIMUM_LOG_LINES_PER_UPDATE) {
        logLines++;
        logger.atInfo().log(
            "event=interference_learned serving=%s filler=%s level=%s effect=%.2f workers=%d",
            LogText.quoted(image),
            LogText.quoted(entry.getKey()),
            effect.level(),
            effect.value(),
            effect.knownWorkers());
      }
      if (effect.isEmpty()) {
        entries.remove();
        pairCount--;
      }
    }
    return logLines;
  }

  /** Returns how much fillers of one image disturb serving tasks of another; allocates nothing. */
  public InterferenceLevel levelOf(String servingImage, String fillerImage) {
    ServingImage serving = servingImages.get(servingImage);
    if (serving == null) {
      return InterferenceLevel.UNKNOWN;
    }
    FillerEffect effect = serving.effects.get(fillerImage);
    return effect == null ? InterferenceLevel.UNKNOWN : effect.level();
  }

  /** Returns the number of pairs that are in memory. */
  int pairCount() {
    return pairCount;
  }
}
