/** The scheduler: which task runs where, decided by the one entry that holds the office. */
package org.flamingochute.scheduling.core;
