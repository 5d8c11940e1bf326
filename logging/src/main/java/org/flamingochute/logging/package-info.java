/** Logging of one event per line, as key-value pairs. */
package org.flamingochute.logging;
