package org.flamingochute.load;

import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.http.NumericAddress;

/** Sends one try of a call to one address and judges the answer. */
@FunctionalInterface
public interface CallSender {

  /**
   * Sends one try; the future never completes exceptionally.
   *
   * @param timeoutMilliseconds time until the caller gives up
   */
  CompletableFuture<TryOutcome> send(NumericAddress address, Call call, long timeoutMilliseconds);
}
