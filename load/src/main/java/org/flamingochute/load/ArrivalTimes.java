package org.flamingochute.load;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Samples the arrival times of a Poisson process with a time-dependent rate by thinning: arrivals
 * are sampled at the maximum rate, and each is accepted with a probability equal to the rate at its
 * time divided by the maximum rate. The same seed results in the same times.
 */
public final class ArrivalTimes {

  private static final double MILLISECONDS_PER_SECOND = 1000;

  private final ArrivalRate rate;
  private final UniformRandomProvider random;
  private final ZigguratSampler.Exponential interarrivalSampler;
  private double timeMilliseconds;

  /** Creates the arrival times for a rate and a seed. */
  public ArrivalTimes(ArrivalRate rate, long seed) {
    this.rate = rate;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    double meanInterarrivalMilliseconds = MILLISECONDS_PER_SECOND / rate.maximumPerSecond();
    this.interarrivalSampler = ZigguratSampler.Exponential.of(random, meanInterarrivalMilliseconds);
  }

  /** Returns the next arrival time after the start, in milliseconds. */
  public long nextMilliseconds() {
    while (true) {
      timeMilliseconds += interarrivalSampler.sample();
      long milliseconds = (long) timeMilliseconds;
      double acceptanceProbability = rate.perSecondAt(milliseconds) / rate.maximumPerSecond();
      if (random.nextDouble() < acceptanceProbability) {
        return milliseconds;
      }
    }
  }
}
