/** The agreed state: a deterministic state machine over the log, replicated in every process. */
package org.flamingochute.decision.agreement;
