/**
 * One contract for each interface towards the outside. Every implementation passes the same tests:
 * the simulation of the scenarios, the stand-in in memory, and the adapter against the stand-in's
 * process interface.
 */
package org.flamingochute.testsuite.contract;
