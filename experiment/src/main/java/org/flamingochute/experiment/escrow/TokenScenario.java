package org.flamingochute.experiment.escrow;

/**
 * The cap and load of a team, and the entries that share its tokens.
 *
 * @param entryCount number of entries that hold tokens
 * @param cap number of tokens of the team
 * @param loadRatio ratio of the requests offered to what the cap allows
 * @param hotEntryRatio ratio of the requests that are directed at the hot entry
 * @param hotEntryMilliseconds time after which the next entry becomes the hot one
 */
record TokenScenario(
    int entryCount, int cap, double loadRatio, double hotEntryRatio, double hotEntryMilliseconds) {

  static final double MEAN_SERVICE_MILLISECONDS = 40;

  /** Time after which a waiting request is dropped. */
  static final double TIMEOUT_MILLISECONDS = 2_000;

  static final double HEARTBEAT_INTERVAL_MILLISECONDS = 200;
  static final double DURATION_MILLISECONDS = 60_000;

  double requestsPerMillisecond() {
    return loadRatio * cap / MEAN_SERVICE_MILLISECONDS;
  }
}
