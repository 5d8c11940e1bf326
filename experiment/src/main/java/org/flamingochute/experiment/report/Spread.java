package org.flamingochute.experiment.report;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The median and extremes of a measure over all seeds.
 *
 * @param minimum the smallest value
 * @param median the median; for an even number of values, the mean of the two middle values
 * @param maximum the largest value
 * @param count the number of values
 */
public record Spread(double minimum, double median, double maximum, int count) {

  /** Computes the spread of a non-empty list of values. */
  public static Spread of(List<Double> values) {
    List<Double> sorted = new ArrayList<>(values);
    Collections.sort(sorted);
    int middle = sorted.size() / 2;
    double median =
        sorted.size() % 2 == 1
            ? sorted.get(middle)
            : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
    return new Spread(sorted.getFirst(), median, sorted.getLast(), sorted.size());
  }
}
