package org.flamingochute.decision.capacity;

import org.flamingochute.decision.identity.Incarnation;

/**
 * Tokens that an entry sends to another one without a request.
 *
 * @param peer the entry that receives them
 * @param tokens number of tokens, at least 1
 */
public record SurplusTransfer(Incarnation peer, int tokens) {}
