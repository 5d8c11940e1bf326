package org.flamingochute.engine.membership;

/** Spreads the bits of a hash, by the finalizer of the SplitMix64 generator. */
final class HashMixer {

  private static final long FIRST_FACTOR = 0xbf58476d1ce4e5b9L;
  private static final long SECOND_FACTOR = 0x94d049bb133111ebL;

  private HashMixer() {}

  /** Returns the mixed value. */
  static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * FIRST_FACTOR;
    mixed = (mixed ^ (mixed >>> 27)) * SECOND_FACTOR;
    return mixed ^ (mixed >>> 31);
  }
}
