/** Ignores and prints the test failures that KNOWN-RED.txt lists. */
package org.flamingochute.testsuite.knownred;
