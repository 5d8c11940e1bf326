/** Components shared by the simulations: time, random numbers, companies and exact bounds. */
package org.flamingochute.experiment.model;
