/**
 * Simulated time, network and platform for scenarios, which run the real decision and entry code.
 */
package org.flamingochute.testsuite.simulation;
