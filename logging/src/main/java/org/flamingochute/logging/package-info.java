/** Log lines of one event each, as pairs of key and value. */
package org.flamingochute.logging;
