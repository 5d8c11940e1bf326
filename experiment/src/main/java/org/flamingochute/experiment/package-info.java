/** Experiments that drive the decision code with small models of load. */
package org.flamingochute.experiment;
