/** The state of jobs that every node reads from the store. */
package org.flamingochute.scheduling.job;
