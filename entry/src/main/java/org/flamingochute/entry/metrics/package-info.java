/** Metrics of the process and their JSON report. */
package org.flamingochute.entry.metrics;
