package org.flamingochute.experiment.escrow;

import java.util.List;
import org.HdrHistogram.Histogram;
import org.flamingochute.experiment.Measurement;

/** Statistics of the requests and tokens of a run. */
final class TokenStatistics {

  private static final int MICROSECONDS_PER_MILLISECOND = 1_000;
  private static final long MAXIMUM_WAIT_MICROSECONDS = 60_000_000;

  private final Histogram waits = new Histogram(MAXIMUM_WAIT_MICROSECONDS, 3);
  private long offeredRequests;
  private long startedRequests;
  private long roundTrips;
  private long surplusTransfers;
  private double strandedTokenSum;
  private long sampleCount;

  void recordOffered() {
    offeredRequests++;
  }

  void recordStarted(double waitedMilliseconds) {
    startedRequests++;
    waits.recordValue((long) (waitedMilliseconds * MICROSECONDS_PER_MILLISECOND));
  }

  void recordRoundTrip() {
    roundTrips++;
  }

  /** Adds one round trip for each request offered, as with an owner per team. */
  void addRoundTripPerRequest() {
    roundTrips += offeredRequests;
  }

  void recordSurplusTransfer() {
    surplusTransfers++;
  }

  /** Records a sample of the tokens that are free at some entries while requests wait at others. */
  void recordStrandedTokens(int tokens) {
    strandedTokenSum += tokens;
    sampleCount++;
  }

  List<Measurement> measurements(String subject, String policy) {
    double roundTripsPerRequest = (double) roundTrips / Math.max(1, offeredRequests);
    double meanStrandedTokens = strandedTokenSum / Math.max(1, sampleCount);
    double waitMillisecondsP99 =
        waits.getValueAtPercentile(99) / (double) MICROSECONDS_PER_MILLISECOND;
    return List.of(
        new Measurement(
            subject,
            policy,
            "started of offered",
            "",
            (double) startedRequests / Math.max(1, offeredRequests)),
        new Measurement(subject, policy, "round trips a request", "", roundTripsPerRequest),
        new Measurement(
            subject,
            policy,
            "surplusTransfers a request",
            "",
            (double) surplusTransfers / Math.max(1, offeredRequests)),
        new Measurement(subject, policy, "stranded tokens", "tokens", meanStrandedTokens),
        new Measurement(subject, policy, "wait p99", "ms", waitMillisecondsP99));
  }
}
