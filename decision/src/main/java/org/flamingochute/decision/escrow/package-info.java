/** The escrow of caps at one member: the tokens that it holds, uses and transfers. */
package org.flamingochute.decision.escrow;
