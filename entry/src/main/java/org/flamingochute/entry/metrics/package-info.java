/** Reports on the metrics of the process. */
package org.flamingochute.entry.metrics;
