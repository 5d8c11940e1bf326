/** The scheduler, run by the leading node only: decides which task runs on which worker. */
package org.flamingochute.scheduling.core;
