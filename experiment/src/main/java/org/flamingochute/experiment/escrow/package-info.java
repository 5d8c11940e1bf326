/** Simulation of the tokens of one team's cap, held by several entries. */
package org.flamingochute.experiment.escrow;
