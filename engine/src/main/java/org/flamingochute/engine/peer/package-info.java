/**
 * What entries tell each other: heartbeats with usage, tokens, and records in an outage of the log.
 */
package org.flamingochute.engine.peer;
