/** The scheduler: which task runs where, decided by the one entry that leads. */
package org.flamingochute.scheduling.core;
