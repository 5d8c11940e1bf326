/** Jobs, as every entry knows them from the store. */
package org.flamingochute.scheduling.job;
