/** The agreed state: a deterministic fold of the platform's log, the same in every process. */
package org.flamingochute.decision.agreement;
