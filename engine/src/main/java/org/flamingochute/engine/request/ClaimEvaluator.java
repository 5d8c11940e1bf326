package org.flamingochute.engine.request;

import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.schema.ClaimImage;
import org.flamingochute.schema.IdempotencySettled;
import org.flamingochute.schema.Outcome;

/**
 * Determines what a claim in the agreed state means for a repetition of its request.
 *
 * <p>A stored response is returned again. A claim that was settled as not run is free. If the claim
 * was settled as unknown, its response was too large to store, or its member left before it was
 * settled, the outcome of the repetition is unknown: the request may have run, and is not run
 * again. A claim in progress has to be waited for. A repetition whose digest differs is another
 * request and is not run.
 */
final class ClaimEvaluator {

  private final AgreedView agreed;

  ClaimEvaluator(AgreedView agreed) {
    this.agreed = agreed;
  }

  /** Returns the current claim, or empty if the key is free. */
  Optional<ClaimImage> claim(ClaimId id) {
    return agreed
        .claim(id.team(), id.key())
        .filter(claim -> claim.getSettled().getOutcome() != Outcome.OUTCOME_NOT_RUN);
  }

  /** Returns the outcome of a repetition, or empty if the claim has to be waited for. */
  Optional<CallerOutcome> outcome(ClaimId id, ClaimImage claim, String digest) {
    if (!claim.getClaim().getRequestDigest().equals(digest)) {
      return Optional.of(
          new CallerOutcome.NotRun(
              ErrorReport.of(ErrorCode.CLAIM_OTHER_REQUEST, id.key(), id.team())));
    }
    if (claim.hasSettled()) {
      return Optional.of(settled(claim.getSettled()));
    }
    if (!agreed.isMember(new Incarnation(claim.getClaim().getIncarnation()))) {
      return Optional.of(unknown("the entry that claimed its idempotency key is gone"));
    }
    return Optional.empty();
  }

  private static CallerOutcome settled(IdempotencySettled settled) {
    if (settled.getOutcome() != Outcome.OUTCOME_ANSWERED) {
      return unknown("an earlier request with its idempotency key has an unknown outcome");
    }
    if (!settled.getAnswerKept()) {
      return unknown("it ran before under its idempotency key, and the response was not retained");
    }
    List<HeaderField> headers =
        settled.getAnswerContentType().isEmpty()
            ? List.of()
            : List.of(new HeaderField("Content-Type", settled.getAnswerContentType()));
    return new CallerOutcome.Answered(
        settled.getAnswerStatus(), headers, settled.getAnswerBody().toByteArray());
  }

  private static CallerOutcome unknown(String detail) {
    return new CallerOutcome.Unknown(ErrorReport.of(ErrorCode.OUTCOME_UNKNOWN, detail));
  }
}
