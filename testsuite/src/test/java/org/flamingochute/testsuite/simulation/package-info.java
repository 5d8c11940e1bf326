/** Virtual time, network and platform for scenarios: everything but the decision and entry code. */
package org.flamingochute.testsuite.simulation;
