/** Parts that the models of load share: time, random numbers, companies and exact bounds. */
package org.flamingochute.experiment.model;
