/** Simulations of maintenance waves, the shrink of pools and moves between pools. */
package org.flamingochute.experiment.maintenance;
