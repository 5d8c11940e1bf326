package org.flamingochute.experiment.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.flamingochute.decision.admission.QueuedRequest;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.model.MaximumMinimumShare;

/** Counts what callers saw, in windows of time. */
public final class RequestRecorder {

  /** Length of a window. */
  public static final double WINDOW_MILLISECONDS = 10_000;

  private static final int MICROSECONDS_PER_MILLISECOND = 1_000;
  private static final long LONGEST_WAIT_MICROSECONDS = 600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram wait = new Histogram(LONGEST_WAIT_MICROSECONDS, SIGNIFICANT_DIGITS);
  private final Histogram totalWait = new Histogram(LONGEST_WAIT_MICROSECONDS, SIGNIFICANT_DIGITS);
  private final Map<Integer, Map<TeamId, Double>> offered = new TreeMap<>();
  private final Map<Integer, Map<TeamId, Double>> answered = new TreeMap<>();
  private long offeredTotal;
  private long answeredInTime;
  private long answeredLate;
  private long notRun;

  void offered(QueuedRequest<?> request) {
    offeredTotal++;
    count(offered, request.arrivalMilliseconds(), request.team());
  }

  void answered(
      QueuedRequest<SimulatedRequest> request, double sentMilliseconds, double nowMilliseconds) {
    record(wait, sentMilliseconds - request.arrivalMilliseconds());
    double elapsed = nowMilliseconds - request.arrivalMilliseconds();
    record(totalWait, elapsed - request.content().serviceMilliseconds());
    if (nowMilliseconds > request.deadlineMilliseconds()) {
      answeredLate++;
      return;
    }
    answeredInTime++;
    count(answered, request.arrivalMilliseconds(), request.team());
  }

  private static void record(Histogram histogram, double milliseconds) {
    histogram.recordValue((long) Math.max(0, milliseconds * MICROSECONDS_PER_MILLISECOND));
  }

  void refused(QueuedRequest<?> request) {
    notRun++;
  }

  private static void count(
      Map<Integer, Map<TeamId, Double>> windows, double milliseconds, TeamId team) {
    int window = (int) (milliseconds / WINDOW_MILLISECONDS);
    windows.computeIfAbsent(window, key -> new HashMap<>()).merge(team, 1.0, Double::sum);
  }

  /**
   * Returns, for each window but the first and last and each team with demand, the answered
   * requests as a part of the max-min fair share.
   */
  public List<Double> nearnessToShare(RequestScenario scenario) {
    Map<TeamId, Integer> weights = new HashMap<>();
    scenario.teams().forEach(load -> weights.put(load.team(), load.share()));
    double capacity = scenario.capacityPerSecond() * WINDOW_MILLISECONDS / 1000;
    int windows = (int) (scenario.durationMilliseconds() / WINDOW_MILLISECONDS);
    List<Double> parts = new ArrayList<>();
    for (int window = 1; window < windows - 1; window++) {
      Map<TeamId, Double> demands = offered.getOrDefault(window, Map.of());
      Map<TeamId, Double> served = answered.getOrDefault(window, Map.of());
      Map<TeamId, Double> fair = MaximumMinimumShare.allocate(capacity, demands, weights);
      fair.forEach((team, part) -> parts.add(served.getOrDefault(team, 0.0) / part));
    }
    return parts;
  }

  /** Returns the requests answered in time, as a part of what the runners can answer. */
  public double answeredOfCapacity(RequestScenario scenario) {
    return answeredInTime / (scenario.capacityPerSecond() * scenario.durationMilliseconds() / 1000);
  }

  /** Returns the requests answered in time, as a part of the requests offered. */
  public double answeredOfOffered() {
    return (double) answeredInTime / offeredTotal;
  }

  /** Returns the requests offered. */
  public long total() {
    return offeredTotal;
  }

  /** Returns the requests that a runner worked on but whose answer came too late. */
  public long answeredLate() {
    return answeredLate;
  }

  /** Returns the requests that were refused as not run. */
  public long notRun() {
    return notRun;
  }

  /** Returns a percentile of the wait at the entry, in milliseconds. */
  public double waitMilliseconds(double percentile) {
    return wait.getValueAtPercentile(percentile) / (double) MICROSECONDS_PER_MILLISECOND;
  }

  /** Returns a percentile of all time but that of the work itself, in milliseconds. */
  public double totalWaitMilliseconds(double percentile) {
    return totalWait.getValueAtPercentile(percentile) / (double) MICROSECONDS_PER_MILLISECOND;
  }
}
