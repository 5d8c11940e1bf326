/** Plays scenario files against the scheduler. */
package org.flamingochute.scheduling.scenario;
