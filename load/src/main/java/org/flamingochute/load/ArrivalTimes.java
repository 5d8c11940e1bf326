package org.flamingochute.load;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws the arrival times of a Poisson process whose rate changes over time, by thinning: arrivals
 * are drawn at the largest rate, and each is kept with the probability of the rate at its time
 * divided by the largest one. The same seed gives the same times.
 */
public final class ArrivalTimes {

  private static final double MILLISECONDS_IN_SECOND = 1000;

  private final ArrivalRate rate;
  private final UniformRandomProvider random;
  private final ZigguratSampler.Exponential gaps;
  private double time;

  /** Creates the times for a rate and a seed. */
  public ArrivalTimes(ArrivalRate rate, long seed) {
    this.rate = rate;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    double meanGap = MILLISECONDS_IN_SECOND / rate.largestPerSecond();
    this.gaps = ZigguratSampler.Exponential.of(random, meanGap);
  }

  /** Returns the next arrival time after the start, in milliseconds. */
  public long nextMilliseconds() {
    while (true) {
      time += gaps.sample();
      long milliseconds = (long) time;
      double kept = rate.perSecondAt(milliseconds) / rate.largestPerSecond();
      if (random.nextDouble() < kept) {
        return milliseconds;
      }
    }
  }
}
