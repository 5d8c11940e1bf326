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

  /** Parses a list such as {@code proofs:6,quotes:7}; empty text is an empty list. */
  static List<PoolSize> parseList(String text) {
    List<PoolSize> pools = new ArrayList<>();
    if (text.isEmpty()) {
      return pools;
    }
    for (String part : text.split(",")) {
      int colon = part.lastIndexOf(':');
      int size = Integer.parseInt(part.substring(colon + 1));
      pools.add(new PoolSize(part.substring(0, colon), size));
    }
    return pools;
  }
}
