/** One member's side of the escrow of caps: the tokens that it holds and moves. */
package org.flamingochute.decision.escrow;
