package org.flamingochute.standin.http;

import java.util.ArrayList;
import java.util.List;

/**
 * A pool and the number of its instances.
 *
 * @param pool name of the pool
 * @param size number of instances
 */
record PoolSize(String pool, int size) {

  /** Parses a list such as {@code proofs:6,quotes:7}; an empty string is an empty list. */
  static List<PoolSize> parseList(String text) {
    List<PoolSize> pools = new ArrayList<>();
    if (text.isEmpty()) {
      return pools;
    }
    for (String entry : text.split(",")) {
      int colon = entry.lastIndexOf(':');
      int size = Integer.parseInt(entry.substring(colon + 1));
      pools.add(new PoolSize(entry.substring(0, colon), size));
    }
    return pools;
  }
}
