/** Records that members append to maintain the agreed state: statements, ticks and snapshots. */
package org.flamingochute.engine.upkeep;
