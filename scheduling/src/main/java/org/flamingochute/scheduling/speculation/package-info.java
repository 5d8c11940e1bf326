/** Which slow runs deserve a copy. */
package org.flamingochute.scheduling.speculation;
