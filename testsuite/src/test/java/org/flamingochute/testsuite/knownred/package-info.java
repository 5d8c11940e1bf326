/** Passes over the failures that KNOWN-RED.txt lists, and prints them. */
package org.flamingochute.testsuite.knownred;
