/**
 * State of the stand-ins for the platform, runners and workers, without sockets: plain classes with
 * the semantics of the platform's interfaces and a clock that is passed in.
 */
package org.flamingochute.standin;
