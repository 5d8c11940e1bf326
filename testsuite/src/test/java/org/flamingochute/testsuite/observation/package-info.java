/** What callers, operators, runners, workers and the platform saw, each from its own side. */
package org.flamingochute.testsuite.observation;
