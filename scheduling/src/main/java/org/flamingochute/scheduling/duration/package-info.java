/** How long tasks are expected to run. */
package org.flamingochute.scheduling.duration;
