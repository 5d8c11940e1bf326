/** Model of a pool of workers with jobs whose declared sizes are wrong. */
package org.flamingochute.experiment.placement;
