/**
 * Stand-ins for the platform, runners and workers, without sockets: in-memory classes with the
 * semantics of the platform's interfaces and an injected clock.
 */
package org.flamingochute.standin;
