package org.flamingochute.experiment.request;

import java.util.List;
import org.flamingochute.experiment.model.Company;

/**
 * A service and its load.
 *
 * @param entryCount number of entries
 * @param runnerCount number of runners of the service
 * @param meanServiceMilliseconds mean time for which a runner processes a request
 * @param serviceLogSigma standard deviation of the logarithm of that time
 * @param timeoutMilliseconds time after which a request times out at its caller
 * @param durationMilliseconds simulated time
 * @param heartbeatIntervalMilliseconds interval of the heartbeat between entries
 * @param teamLoads the load of each team
 */
public record RequestScenario(
    int entryCount,
    int runnerCount,
    double meanServiceMilliseconds,
    double serviceLogSigma,
    double timeoutMilliseconds,
    double durationMilliseconds,
    double heartbeatIntervalMilliseconds,
    List<TeamLoad> teamLoads) {

  /** Returns the number of requests per second that the runners can process. */
  public double capacityPerSecond() {
    return runnerCount * Company.SLOTS_PER_RUNNER * 1000.0 / meanServiceMilliseconds;
  }
}
