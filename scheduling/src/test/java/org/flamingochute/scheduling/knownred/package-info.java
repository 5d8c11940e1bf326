/** Known unfixed faults, whose tests are passed over. */
package org.flamingochute.scheduling.knownred;
