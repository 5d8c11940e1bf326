package org.flamingochute.scheduling.core;

import org.flamingochute.scheduling.interference.InterferenceLevel;
import org.flamingochute.scheduling.interference.InterferenceModel;

/**
 * Penalty for placing a filler beside serving tasks, or a serving task beside fillers.
 *
 * <p>The worst pair of images counts. A pair that is not known has the weight that every pair has
 * while nothing is learned. A harmless pair has none. Harmless fillers even prefer workers with
 * serving tasks, so that they leave the others to fillers that disturb.
 */
final class InterferencePenalty {
  private static final double UNKNOWN_WEIGHT = 50;

  /** Below the weights of the preferred rack and of slow workers. */
  private static final double INTERFERING_WEIGHT = 90;

  /** Above all differences in how full workers are, and below all other weights. */
  private static final double HARMLESS_FILLER_BONUS = 2;

  private final InterferenceModel model;

  InterferencePenalty(InterferenceModel model) {
    this.model = model;
  }

  /** Returns the penalty of a worker for a task: 0 for most tasks, negative for a bonus. */
  double of(Task task, Worker worker) {
    boolean besideServing = task.step.getFiller() && worker.hasServingTask();
    boolean besideFillers = task.step.getTailTargetMilliseconds() > 0 && worker.hasFiller();
    double penalty = 0;
    if (besideServing) {
      penalty = penaltyBesideServing(task.step.getImage(), worker.servingImages);
    }
    if (besideFillers) {
      penalty = Math.max(penalty, penaltyBesideFillers(task.step.getImage(), worker.fillerImages));
    }
    return besideServing && penalty == 0 ? -HARMLESS_FILLER_BONUS : penalty;
  }

  private double penaltyBesideServing(String fillerImage, ImageCounts servingImages) {
    double highest = 0;
    for (int position = 0; position < servingImages.size(); position++) {
      InterferenceLevel level = model.levelOf(servingImages.image(position), fillerImage);
      highest = Math.max(highest, weightOf(level));
    }
    return highest;
  }

  private double penaltyBesideFillers(String servingImage, ImageCounts fillerImages) {
    double highest = 0;
    for (int position = 0; position < fillerImages.size(); position++) {
      InterferenceLevel level = model.levelOf(servingImage, fillerImages.image(position));
      highest = Math.max(highest, weightOf(level));
    }
    return highest;
  }

  private static double weightOf(InterferenceLevel level) {
    return switch (level) {
      case HARMLESS -> 0;
      case UNKNOWN -> UNKNOWN_WEIGHT;
      case INTERFERING -> INTERFERING_WEIGHT;
    };
  }
}
