package org.flamingochute.experiment.report;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Median and extremes of a figure over all seeds.
 *
 * @param least the least value
 * @param median the median; the mean of the middle two for an even number of values
 * @param greatest the greatest value
 * @param count the number of values
 */
public record Spread(double least, double median, double greatest, int count) {

  /** Computes the spread of at least one value. */
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
