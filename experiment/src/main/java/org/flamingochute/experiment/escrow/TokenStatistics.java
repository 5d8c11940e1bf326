package org.flamingochute.experiment.escrow;

import java.util.List;
import org.HdrHistogram.Histogram;
import org.flamingochute.experiment.Measurement;

/** What happened to the requests and tokens of a run. */
final class TokenStatistics {

  private static final int MICROSECONDS_PER_MILLISECOND = 1_000;
  private static final long LONGEST_WAIT_MICROSECONDS = 60_000_000;

  private final Histogram wait = new Histogram(LONGEST_WAIT_MICROSECONDS, 3);
  private long offered;
  private long started;
  private long roundTrips;
  private long surplusTransfers;
  private double stranded;
  private long samples;

  void offered() {
    offered++;
  }

  void started(double waitedMilliseconds) {
    started++;
    wait.recordValue((long) (waitedMilliseconds * MICROSECONDS_PER_MILLISECOND));
  }

  void roundTrip() {
    roundTrips++;
  }

  /** Counts one round trip for each request, as with an owner per team. */
  void roundTripForEach() {
    roundTrips += offered;
  }

  void surplus() {
    surplusTransfers++;
  }

  /** Takes a sample of the tokens that are free somewhere while requests wait elsewhere. */
  void sampleStranded(int tokens) {
    stranded += tokens;
    samples++;
  }

  List<Measurement> measurements(String subject, String policy) {
    double perRequest = (double) roundTrips / Math.max(1, offered);
    double strandedMean = stranded / Math.max(1, samples);
    double p99 = wait.getValueAtPercentile(99) / (double) MICROSECONDS_PER_MILLISECOND;
    return List.of(
        new Measurement(
            subject, policy, "started of offered", "", (double) started / Math.max(1, offered)),
        new Measurement(subject, policy, "round trips a request", "", perRequest),
        new Measurement(
            subject,
            policy,
            "surplusTransfers a request",
            "",
            (double) surplusTransfers / Math.max(1, offered)),
        new Measurement(subject, policy, "stranded tokens", "tokens", strandedMean),
        new Measurement(subject, policy, "wait p99", "ms", p99));
  }
}
