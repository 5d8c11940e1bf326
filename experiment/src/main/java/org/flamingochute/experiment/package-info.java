/** Experiments with the decision code. */
package org.flamingochute.experiment;
