/** Measures elapsed time, memory and encoded sizes of the decision code at several fleet sizes. */
package org.flamingochute.experiment.cost;
