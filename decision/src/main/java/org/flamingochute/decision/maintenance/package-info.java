/** Planned stops of instances: maintenance waves, moves between pools, and reduction of pools. */
package org.flamingochute.decision.maintenance;
