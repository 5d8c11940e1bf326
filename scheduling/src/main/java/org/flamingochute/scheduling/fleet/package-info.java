/** The fleet as the operators declare it and the platform reports it. */
package org.flamingochute.scheduling.fleet;
