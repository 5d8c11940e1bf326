/**
 * Contract tests for the external interfaces. Every implementation passes the same tests: the
 * simulation of the scenarios, the in-memory stand-in, and the adapters connected to the stand-in's
 * process interface.
 */
package org.flamingochute.testsuite.contract;
