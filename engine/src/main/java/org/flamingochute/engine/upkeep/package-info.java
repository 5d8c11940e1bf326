/**
 * Records that the members write so that the agreed state goes on: statements, ticks, snapshots.
 */
package org.flamingochute.engine.upkeep;
