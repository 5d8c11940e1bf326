package org.flamingochute.scheduling.duration;

/**
 * Durations of the tasks of one queue and image, and the predictor that fits them best.
 *
 * <p>Errors and means are natural logarithms of ratios and durations, so that a prediction that is
 * ten times too low is as wrong as one that is ten times too high.
 */
final class ImageDurations {
  private static final Predictor[] PREDICTORS = Predictor.values();

  /** Number of runs from which means are used for predictions. */
  private static final int MINIMUM_RUNS = 5;

  /** Number of predictions by each predictor from which they are compared. */
  private static final int MINIMUM_PREDICTIONS = 5;

  /** Number of predictions over which errors are averaged. */
  private static final int AVERAGED_PREDICTIONS = 64;

  /**
   * A predictor replaces another one if its error is lower by this ratio and this difference, so
   * that two which are equally good are not exchanged again and again.
   */
  private static final double REPLACING_ERROR_RATIO = 0.9;

  private static final double REPLACING_ERROR_DIFFERENCE = 0.05;

  /** Change of a mean that is noticeable: 10 %. Random variation stays below it. */
  private static final double NOTICEABLE_CHANGE = Math.log(1.1);

  private final TrimmedMean durations = new TrimmedMean();
  private final TrimmedMean factors = new TrimmedMean();
  private final double[] errors = new double[PREDICTORS.length];
  private int predictions;
  private Predictor predictor = Predictor.ESTIMATE;

  /** Logarithm of the mean or factor that answers are derived from. */
  private double published;

  Predictor predictor() {
    return predictor;
  }

  /** Returns the mean duration in milliseconds. */
  long meanMilliseconds() {
    return Math.round(Math.exp(durations.value()));
  }

  /** Returns the mean ratio of durations to estimates. */
  double factor() {
    return Math.exp(factors.value());
  }

  /** Returns the mean absolute logarithmic error of a predictor. */
  double error(Predictor of) {
    return errors[of.ordinal()];
  }

  long expectedMilliseconds(long estimateMilliseconds) {
    return switch (predictor) {
      case ESTIMATE -> estimateMilliseconds;
      case CORRECTED_ESTIMATE -> atLeastOne(positive(estimateMilliseconds) * Math.exp(published));
      case MEAN -> atLeastOne(Math.exp(published));
    };
  }

  private static long atLeastOne(double milliseconds) {
    return Math.max(1, Math.round(milliseconds));
  }

  private static long positive(long milliseconds) {
    return Math.max(1, milliseconds);
  }

  /** Adds a duration; returns whether expected durations have changed noticeably. */
  boolean observe(long estimateMilliseconds, long milliseconds) {
    double duration = Math.log(positive(milliseconds));
    double factor = duration - Math.log(positive(estimateMilliseconds));
    if (durations.size() >= MINIMUM_RUNS) {
      comparePredictions(duration, factor);
    }
    durations.add(duration);
    factors.add(factor);
    return selectPredictor() || publish();
  }

  private void comparePredictions(double duration, double factor) {
    predictions = Math.min(AVERAGED_PREDICTIONS, predictions + 1);
    addError(Predictor.ESTIMATE, factor);
    addError(Predictor.CORRECTED_ESTIMATE, factor - factors.value());
    addError(Predictor.MEAN, duration - durations.value());
  }

  private void addError(Predictor of, double error) {
    errors[of.ordinal()] += (Math.abs(error) - errors[of.ordinal()]) / predictions;
  }

  private boolean selectPredictor() {
    if (predictions < MINIMUM_PREDICTIONS) {
      return false;
    }
    Predictor best = predictor;
    for (Predictor candidate : PREDICTORS) {
      best = error(candidate) < error(best) ? candidate : best;
    }
    double limit =
        Math.min(
            REPLACING_ERROR_RATIO * error(predictor),
            error(predictor) - REPLACING_ERROR_DIFFERENCE);
    if (error(best) > limit) {
      return false;
    }
    predictor = best;
    published = newestMean();
    return true;
  }

  private boolean publish() {
    if (predictor == Predictor.ESTIMATE || Math.abs(newestMean() - published) < NOTICEABLE_CHANGE) {
      return false;
    }
    published = newestMean();
    return true;
  }

  private double newestMean() {
    return predictor == Predictor.MEAN ? durations.value() : factors.value();
  }
}
