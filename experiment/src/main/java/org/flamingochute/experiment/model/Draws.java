package org.flamingochute.experiment.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** Random numbers of a model, all from one seed. */
public final class Draws {

  private final UniformRandomProvider random;
  private final ZigguratSampler.Exponential exponential;
  private final ZigguratSampler.NormalizedGaussian gaussian;

  /** Creates a source of numbers from a seed. */
  public Draws(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    exponential = ZigguratSampler.Exponential.of(random);
    gaussian = ZigguratSampler.NormalizedGaussian.of(random);
  }

  /** Returns the source for code that draws by itself. */
  public UniformRandomProvider random() {
    return random;
  }

  /** Returns an exponentially distributed number. */
  public double exponential(double mean) {
    return mean * exponential.sample();
  }

  /**
   * Returns a number whose logarithm is normally distributed.
   *
   * @param mean the mean of the number itself
   * @param sigma the deviation of the logarithm
   */
  public double logNormal(double mean, double sigma) {
    return mean * Math.exp(sigma * gaussian.sample() - sigma * sigma / 2);
  }

  /** Returns a whole number from 0 up to but not including the limit. */
  public int below(int limit) {
    return random.nextInt(limit);
  }

  /** Tells whether an event of the given probability happens. */
  public boolean happens(double probability) {
    return random.nextDouble() < probability;
  }
}
