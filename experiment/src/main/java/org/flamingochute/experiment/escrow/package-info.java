/** Model of the tokens of one team's cap at several entries. */
package org.flamingochute.experiment.escrow;
