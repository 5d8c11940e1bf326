/** Tests that run scenario files against the scheduler. */
package org.flamingochute.scheduling.scenario;
