package org.flamingochute.experiment;

import java.util.List;
import org.flamingochute.experiment.request.EndpointExperiment;
import org.flamingochute.experiment.request.OverloadExperiment;
import org.flamingochute.experiment.request.ShareExperiment;

/** All experiments, in the order in which they run. */
final class ExperimentCatalogue {

  private ExperimentCatalogue() {}

  static List<Experiment> all() {
    return List.of(new ShareExperiment(), new OverloadExperiment(), new EndpointExperiment());
  }
}
