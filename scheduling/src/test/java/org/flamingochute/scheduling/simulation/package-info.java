/** A simulated fleet for the scheduler, in virtual time, that checks the scheduler's invariants. */
package org.flamingochute.scheduling.simulation;
