package org.flamingochute.decision.admission;

/** What became of a request that was offered to a queue. */
public sealed interface OfferResult<T> {

  /** The request waits in the queue. */
  record Queued<T>() implements OfferResult<T> {}

  /**
   * The request waits in the queue, and another one had to leave it.
   *
   * @param evicted the request that left; the caller must be told that it was not run
   */
  record QueuedWithEviction<T>(ShedRequest<T> evicted) implements OfferResult<T> {}

  /**
   * The request does not wait in the queue.
   *
   * @param reason why
   */
  record Refused<T>(ShedReason reason) implements OfferResult<T> {}
}
