package org.flamingochute.load;

import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.http.NumericAddress;

/** Sends one attempt of a call and determines its outcome. */
@FunctionalInterface
public interface CallSender {

  /**
   * Sends one attempt; the future never completes exceptionally.
   *
   * @param timeoutMilliseconds time until the deadline of the call
   */
  CompletableFuture<AttemptOutcome> send(
      NumericAddress address, Call call, long timeoutMilliseconds);
}
