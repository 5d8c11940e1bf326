/** The entry process. */
package org.flamingochute.entry;
