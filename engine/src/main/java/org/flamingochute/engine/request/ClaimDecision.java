package org.flamingochute.engine.request;

import org.flamingochute.engine.CallerOutcome;

/** Whether a request with an idempotency key may be dispatched. */
sealed interface ClaimDecision {

  /** This entry owns the claim: it dispatches the request and settles the claim afterwards. */
  record Granted() implements ClaimDecision {}

  /**
   * The request is not dispatched here.
   *
   * @param outcome the outcome to return to the caller
   */
  record Ended(CallerOutcome outcome) implements ClaimDecision {}
}
