package org.flamingochute.scheduling.duration;

import java.util.Arrays;

/** Mean of the newest values without the highest and the lowest ones. */
final class TrimmedMean {
  private static final int CAPACITY = 64;

  /** Fraction of the values that is dropped at each end, as a divisor. */
  private static final int TRIM_DIVISOR = 8;

  private static final int MINIMUM_VALUES_TO_TRIM = 3;

  private final double[] newest = new double[CAPACITY];
  private final double[] sorted = new double[CAPACITY];
  private int size;
  private int next;

  /** Adds a value, and drops the oldest one if there are too many. */
  void add(double value) {
    if (size == CAPACITY) {
      int oldest = Arrays.binarySearch(sorted, newest[next]);
      System.arraycopy(sorted, oldest + 1, sorted, oldest, size - oldest - 1);
      size--;
    }
    int found = Arrays.binarySearch(sorted, 0, size, value);
    int position = found < 0 ? -found - 1 : found;
    System.arraycopy(sorted, position, sorted, position + 1, size - position);
    sorted[position] = value;
    size++;
    newest[next] = value;
    next = (next + 1) % CAPACITY;
  }

  int size() {
    return size;
  }

  /** Returns the mean; there must be a value. */
  double value() {
    int trimmed = size < MINIMUM_VALUES_TO_TRIM ? 0 : Math.max(1, size / TRIM_DIVISOR);
    double sum = 0;
    for (int i = trimmed; i < size - trimmed; i++) {
      sum += sorted[i];
    }
    return sum / (size - 2 * trimmed);
  }
}
