/** What operators declare and the platform reports about the fleet. */
package org.flamingochute.scheduling.fleet;
