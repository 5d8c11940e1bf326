/** Faults on real processes over loopback, under load, counted from outside. */
package org.flamingochute.testsuite.process;
