/**
 * Contract tests for the external interfaces. Both implementations pass the same tests: the
 * simulation that the scenarios use, and the HTTP adapters connected to the stand-ins.
 */
package org.flamingochute.testsuite.contract;
