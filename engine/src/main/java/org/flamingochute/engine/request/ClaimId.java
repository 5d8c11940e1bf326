package org.flamingochute.engine.request;

import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.TeamId;

/**
 * Identifies a claim.
 *
 * @param team team of the caller
 * @param key idempotency key that the caller chose
 */
record ClaimId(TeamId team, IdempotencyKey key) {}
