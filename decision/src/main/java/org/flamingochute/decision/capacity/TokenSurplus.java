package org.flamingochute.decision.capacity;

import org.flamingochute.decision.identity.Incarnation;

/**
 * Tokens that an entry sends to another one without having been asked now.
 *
 * @param peer the entry that gets them
 * @param tokens how many, at least 1
 */
public record TokenSurplus(Incarnation peer, int tokens) {}
