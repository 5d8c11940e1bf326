package org.flamingochute.engine.request;

import org.flamingochute.engine.CallerOutcome;

/** What a request with an idempotency key may do. */
sealed interface ClaimDecision {

  /** The claim is this entry's: it may dispatch the request, and settles the claim afterwards. */
  record Granted() implements ClaimDecision {}

  /**
   * The request is not dispatched here.
   *
   * @param outcome what the caller is told
   */
  record Ended(CallerOutcome outcome) implements ClaimDecision {}
}
