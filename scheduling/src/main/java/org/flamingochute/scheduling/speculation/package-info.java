/** Which slow runs get a copy. */
package org.flamingochute.scheduling.speculation;
