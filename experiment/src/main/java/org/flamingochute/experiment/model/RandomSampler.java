package org.flamingochute.experiment.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** Samples the random distributions of a simulation from a single seed. */
public final class RandomSampler {

  private final UniformRandomProvider random;
  private final ZigguratSampler.Exponential exponentialSampler;
  private final ZigguratSampler.NormalizedGaussian gaussianSampler;

  /** Creates a sampler with the given seed. */
  public RandomSampler(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    exponentialSampler = ZigguratSampler.Exponential.of(random);
    gaussianSampler = ZigguratSampler.NormalizedGaussian.of(random);
  }

  /** Returns the underlying generator, for code that samples from it directly. */
  public UniformRandomProvider random() {
    return random;
  }

  /** Returns an exponentially distributed number with the given mean. */
  public double nextExponential(double mean) {
    return mean * exponentialSampler.sample();
  }

  /**
   * Returns a number whose logarithm is normally distributed.
   *
   * @param mean the mean of the returned number, not of its logarithm
   * @param sigma the standard deviation of the logarithm
   */
  public double nextLogNormal(double mean, double sigma) {
    return mean * Math.exp(sigma * gaussianSampler.sample() - sigma * sigma / 2);
  }

  /** Returns a uniformly distributed integer from 0 (inclusive) to the limit (exclusive). */
  public int nextInt(int limit) {
    return random.nextInt(limit);
  }

  /** Returns {@code true} with the given probability. */
  public boolean nextBoolean(double probability) {
    return random.nextDouble() < probability;
  }
}
