package org.flamingochute.experiment.escrow;

/**
 * One team and its cap.
 *
 * @param entries entries that hold tokens
 * @param cap tokens of the team
 * @param load requests offered, as a part of what the cap allows
 * @param hotPart part of the requests that reach the hot entry
 * @param hotMilliseconds time after which the next entry is the hot one
 */
record TokenScenario(int entries, int cap, double load, double hotPart, double hotMilliseconds) {

  static final double SERVICE_MILLISECONDS = 40;
  static final double TIMEOUT_MILLISECONDS = 2_000;
  static final double GOSSIP_MILLISECONDS = 200;
  static final double DURATION_MILLISECONDS = 60_000;

  double requestsPerMillisecond() {
    return load * cap / SERVICE_MILLISECONDS;
  }
}
