/** Placement of jobs on workers. */
package org.flamingochute.decision.placement;
