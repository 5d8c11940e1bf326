/** Schedules jobs of dependent steps on pools of workers. */
package org.flamingochute.scheduling;
