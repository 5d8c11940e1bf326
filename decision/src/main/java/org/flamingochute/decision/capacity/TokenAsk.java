package org.flamingochute.decision.capacity;

import org.flamingochute.decision.identity.Incarnation;

/**
 * A request for tokens to another entry.
 *
 * @param peer the entry to ask
 * @param tokens how many tokens to ask for, at least 1
 */
public record TokenAsk(Incarnation peer, int tokens) {}
