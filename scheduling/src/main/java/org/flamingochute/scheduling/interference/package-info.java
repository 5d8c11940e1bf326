/** Which images slow each other down on the same worker. */
package org.flamingochute.scheduling.interference;
