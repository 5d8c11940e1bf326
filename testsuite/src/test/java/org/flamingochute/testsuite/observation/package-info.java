/** Events observed by callers, operators, runners, workers and the platform. */
package org.flamingochute.testsuite.observation;
