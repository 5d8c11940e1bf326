/** Experiments that run the decision code against small simulated workloads. */
package org.flamingochute.experiment;
