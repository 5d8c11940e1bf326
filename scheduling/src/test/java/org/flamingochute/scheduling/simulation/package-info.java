/**
 * A fleet of simulated workers around the scheduler, in virtual time, that watches its promises.
 */
package org.flamingochute.scheduling.simulation;
