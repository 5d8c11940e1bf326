package org.flamingochute.decision.admission;

/** The result of offering a request to a queue. */
public sealed interface OfferResult<T> {

  /** The request was queued. */
  record Queued<T>() implements OfferResult<T> {}

  /**
   * The request was queued, and another one was evicted from the queue.
   *
   * @param evicted the evicted request; its caller must be informed that it was not run
   */
  record QueuedWithEviction<T>(ShedRequest<T> evicted) implements OfferResult<T> {}

  /**
   * The request was not queued.
   *
   * @param reason the reason
   */
  record Refused<T>(ShedReason reason) implements OfferResult<T> {}
}
