/** Admission of requests: bounded queues, fair order between teams, and shedding under overload. */
package org.flamingochute.decision.admission;
