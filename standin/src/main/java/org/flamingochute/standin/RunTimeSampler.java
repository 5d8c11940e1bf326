package org.flamingochute.standin;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Samples run times from an exponential distribution, limited to {@value #MAXIMUM_MULTIPLE_OF_MEAN}
 * times the mean. Samplers with the same seed return the same run times.
 */
public final class RunTimeSampler {

  /** Maximum run time as a multiple of the mean. */
  public static final int MAXIMUM_MULTIPLE_OF_MEAN = 10;

  private final long meanMilliseconds;
  private final ZigguratSampler.Exponential sampler;

  /**
   * Creates a sampler.
   *
   * @param meanMilliseconds mean run time in milliseconds; 0 makes every run time 0
   * @param seed seed of the samples
   */
  public RunTimeSampler(long meanMilliseconds, long seed) {
    this.meanMilliseconds = meanMilliseconds;
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.sampler = ZigguratSampler.Exponential.of(random, Math.max(1, meanMilliseconds));
  }

  /** Returns the next run time in milliseconds. */
  public synchronized long nextMilliseconds() {
    if (meanMilliseconds == 0) {
      return 0;
    }
    return Math.min(meanMilliseconds * MAXIMUM_MULTIPLE_OF_MEAN, Math.round(sampler.sample()));
  }
}
