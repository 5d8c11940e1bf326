/** Simulations of maintenance waves, shrinking pools and moves between pools. */
package org.flamingochute.experiment.maintenance;
