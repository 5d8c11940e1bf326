package org.flamingochute.decision.escrow;

import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.schema.TokenTransfer;

/**
 * A transfer to send repeatedly until the receiver acknowledges it.
 *
 * @param receiver the member that receives the tokens
 * @param transfer the frame to send
 */
public record OutgoingTransfer(Incarnation receiver, TokenTransfer transfer) {}
