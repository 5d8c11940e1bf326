package org.flamingochute.engine.request;

import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.TeamId;

/**
 * Identifies the claim of an idempotency key.
 *
 * @param team team of the caller
 * @param key idempotency key chosen by the caller
 */
record ClaimId(TeamId team, IdempotencyKey key) {}
