/** Simulation of a pool of workers with jobs whose declared sizes are inaccurate. */
package org.flamingochute.experiment.placement;
