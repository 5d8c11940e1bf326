/** Model of one service: callers, entries with queues and endpoint choice, and runners. */
package org.flamingochute.experiment.request;
