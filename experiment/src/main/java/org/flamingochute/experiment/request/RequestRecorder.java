package org.flamingochute.experiment.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.flamingochute.decision.admission.QueuedRequest;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.model.MaxMinFairAllocation;

/** Records the outcomes and waits of requests, with counts by the time window of their arrival. */
public final class RequestRecorder {

  /** Length of a time window. */
  public static final double WINDOW_MILLISECONDS = 10_000;

  private static final int MICROSECONDS_PER_MILLISECOND = 1_000;
  private static final long MAXIMUM_WAIT_MICROSECONDS = 600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram queueWait = new Histogram(MAXIMUM_WAIT_MICROSECONDS, SIGNIFICANT_DIGITS);
  private final Histogram totalWait = new Histogram(MAXIMUM_WAIT_MICROSECONDS, SIGNIFICANT_DIGITS);
  private final Map<Integer, Map<TeamId, Double>> offeredByWindow = new TreeMap<>();
  private final Map<Integer, Map<TeamId, Double>> answeredByWindow = new TreeMap<>();
  private long offeredTotal;
  private long answeredInTime;
  private long answeredLate;
  private long rejected;

  void recordOffered(QueuedRequest<?> request) {
    offeredTotal++;
    increment(offeredByWindow, request.arrivalMilliseconds(), request.team());
  }

  void recordAnswered(
      QueuedRequest<SimulatedRequest> request, double sentMilliseconds, double nowMilliseconds) {
    recordWait(queueWait, sentMilliseconds - request.arrivalMilliseconds());
    double elapsed = nowMilliseconds - request.arrivalMilliseconds();
    recordWait(totalWait, elapsed - request.content().serviceMilliseconds());
    if (nowMilliseconds > request.deadlineMilliseconds()) {
      answeredLate++;
      return;
    }
    answeredInTime++;
    increment(answeredByWindow, request.arrivalMilliseconds(), request.team());
  }

  private static void recordWait(Histogram histogram, double milliseconds) {
    histogram.recordValue((long) Math.max(0, milliseconds * MICROSECONDS_PER_MILLISECOND));
  }

  void recordRejected(QueuedRequest<?> request) {
    rejected++;
  }

  private static void increment(
      Map<Integer, Map<TeamId, Double>> windows, double milliseconds, TeamId team) {
    int window = (int) (milliseconds / WINDOW_MILLISECONDS);
    windows.computeIfAbsent(window, key -> new HashMap<>()).merge(team, 1.0, Double::sum);
  }

  /**
   * Returns, for each window except the first and last and each team with demand, the ratio of the
   * requests answered in time to the max-min fair share.
   */
  public List<Double> ratiosToFairShare(RequestScenario scenario) {
    Map<TeamId, Integer> weights = new HashMap<>();
    scenario.teamLoads().forEach(load -> weights.put(load.team(), load.share()));
    double capacityPerWindow = scenario.capacityPerSecond() * WINDOW_MILLISECONDS / 1000;
    int windowCount = (int) (scenario.durationMilliseconds() / WINDOW_MILLISECONDS);
    List<Double> ratios = new ArrayList<>();
    for (int window = 1; window < windowCount - 1; window++) {
      Map<TeamId, Double> demands = offeredByWindow.getOrDefault(window, Map.of());
      Map<TeamId, Double> answeredByTeam = answeredByWindow.getOrDefault(window, Map.of());
      Map<TeamId, Double> fairShares =
          MaxMinFairAllocation.allocate(capacityPerWindow, demands, weights);
      fairShares.forEach(
          (team, fairShare) -> ratios.add(answeredByTeam.getOrDefault(team, 0.0) / fairShare));
    }
    return ratios;
  }

  /** Returns the ratio of requests answered in time to the capacity of the runners. */
  public double ratioOfAnsweredToCapacity(RequestScenario scenario) {
    return answeredInTime / (scenario.capacityPerSecond() * scenario.durationMilliseconds() / 1000);
  }

  /** Returns the ratio of requests answered in time to requests offered. */
  public double ratioOfAnsweredToOffered() {
    return (double) answeredInTime / offeredTotal;
  }

  /** Returns the number of requests offered. */
  public long offered() {
    return offeredTotal;
  }

  /** Returns the number of requests whose response arrived after the deadline. */
  public long answeredLate() {
    return answeredLate;
  }

  /** Returns the number of requests that were rejected without being run. */
  public long rejected() {
    return rejected;
  }

  /** Returns a percentile of the wait at the entry of answered requests, in milliseconds. */
  public double queueWaitMilliseconds(double percentile) {
    return queueWait.getValueAtPercentile(percentile) / (double) MICROSECONDS_PER_MILLISECOND;
  }

  /**
   * Returns a percentile of the total time less the service time of answered requests, in
   * milliseconds.
   */
  public double totalWaitMilliseconds(double percentile) {
    return totalWait.getValueAtPercentile(percentile) / (double) MICROSECONDS_PER_MILLISECOND;
  }
}
