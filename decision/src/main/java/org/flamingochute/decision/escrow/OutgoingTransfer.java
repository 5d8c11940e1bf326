package org.flamingochute.decision.escrow;

import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.schema.TokenTransfer;

/**
 * A transfer that is to be sent, and sent again until it is acknowledged.
 *
 * @param receiver the member that gets the tokens
 * @param transfer the frame to send
 */
public record OutgoingTransfer(Incarnation receiver, TokenTransfer transfer) {}
