package org.flamingochute.experiment.request;

import java.util.List;
import org.flamingochute.experiment.model.Company;

/**
 * One service and its load.
 *
 * @param entries entries that callers reach
 * @param runners runners of the service
 * @param meanServiceMilliseconds mean time that a runner works on a request
 * @param serviceSigma deviation of the logarithm of that time
 * @param timeoutMilliseconds time after which a caller gives up
 * @param durationMilliseconds time that is modelled
 * @param gossipMilliseconds interval of the heartbeat between entries
 * @param teams the load
 */
public record RequestScenario(
    int entries,
    int runners,
    double meanServiceMilliseconds,
    double serviceSigma,
    double timeoutMilliseconds,
    double durationMilliseconds,
    double gossipMilliseconds,
    List<TeamLoad> teams) {

  /** Returns the requests that the runners can answer in a second. */
  public double capacityPerSecond() {
    return runners * Company.SLOTS * 1000.0 / meanServiceMilliseconds;
  }
}
