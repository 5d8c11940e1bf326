/**
 * Communication between entries: heartbeats with usage, tokens, and records during an outage of the
 * log.
 */
package org.flamingochute.engine.peer;
