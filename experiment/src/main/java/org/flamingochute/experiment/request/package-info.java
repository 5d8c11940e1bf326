/** Simulation of one service: callers, entries with queues and endpoint choosers, and runners. */
package org.flamingochute.experiment.request;
