/** Data that workers report about themselves and their tasks. */
package org.flamingochute.scheduling.worker;
