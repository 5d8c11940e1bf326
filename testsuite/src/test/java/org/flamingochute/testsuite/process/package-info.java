/**
 * Fault tests with real processes on the loopback interface, under load and observed externally.
 */
package org.flamingochute.testsuite.process;
