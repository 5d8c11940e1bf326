package org.flamingochute.decision.capacity;

import org.flamingochute.decision.identity.Incarnation;

/**
 * A request to another entry for tokens.
 *
 * @param peer the entry that receives the request
 * @param tokens number of tokens to request, at least 1
 */
public record TokenTransferRequest(Incarnation peer, int tokens) {}
