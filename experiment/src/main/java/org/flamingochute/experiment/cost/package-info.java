/** Costs of the decision code in processor time, memory and bytes, at several sizes. */
package org.flamingochute.experiment.cost;
