/** Scheduling of jobs with dependent steps on pools of workers. */
package org.flamingochute.scheduling;
