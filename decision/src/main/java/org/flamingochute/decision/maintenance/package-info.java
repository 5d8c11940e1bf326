/** Planned stops of instances: maintenance waves, moves between pools, and the shrink. */
package org.flamingochute.decision.maintenance;
