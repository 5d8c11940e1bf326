/** Planned stops of instances: waves, moves and retirements, and the steps of each. */
package org.flamingochute.engine.maintenance;
