package org.flamingochute.experiment;

import java.util.List;
import org.flamingochute.experiment.cost.DecisionCostExperiment;
import org.flamingochute.experiment.cost.StateCostExperiment;
import org.flamingochute.experiment.escrow.EscrowExperiment;
import org.flamingochute.experiment.maintenance.MoveExperiment;
import org.flamingochute.experiment.maintenance.ShrinkExperiment;
import org.flamingochute.experiment.maintenance.WaveExperiment;
import org.flamingochute.experiment.placement.PlacementExperiment;
import org.flamingochute.experiment.request.EndpointExperiment;
import org.flamingochute.experiment.request.OverloadExperiment;
import org.flamingochute.experiment.request.ShareExperiment;

/** All experiments, in the order in which they run. */
final class ExperimentCatalogue {

  private ExperimentCatalogue() {}

  static List<Experiment> all() {
    return List.of(
        new ShareExperiment(),
        new OverloadExperiment(),
        new EndpointExperiment(),
        new EscrowExperiment(),
        new WaveExperiment(),
        new ShrinkExperiment(),
        new MoveExperiment(),
        new PlacementExperiment(),
        new StateCostExperiment(),
        new DecisionCostExperiment());
  }
}
