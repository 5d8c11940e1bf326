/** Models of waves, the shrink and moves between pools. */
package org.flamingochute.experiment.maintenance;
