package org.flamingochute.decision.admission;

/**
 * Settings of a {@link FairRequestQueue}.
 *
 * @param bounds limits of the queue
 * @param order order within a team
 * @param initialServiceMilliseconds service time that is assumed before the first answer
 * @param maximumLeadMilliseconds service time by which a team of share 1 may be ahead of the others
 *     at most; it bounds how long service at other entries is held against a team
 */
public record FairQueueSettings(
    QueueBounds bounds,
    WithinTeamOrder order,
    double initialServiceMilliseconds,
    double maximumLeadMilliseconds) {

  /** Returns a builder with the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds settings. */
  public static final class Builder {

    private static final int DEFAULT_WAITING = 256;
    private static final long DEFAULT_OVERLOAD_MILLISECONDS = 250;
    private static final double DEFAULT_SERVICE_MILLISECONDS = 10;
    private static final double DEFAULT_LEAD_MILLISECONDS = 60_000;

    private QueueBounds bounds = new QueueBounds(DEFAULT_WAITING, DEFAULT_WAITING);
    private WithinTeamOrder order =
        new WithinTeamOrder.NewestUnderOverload(DEFAULT_OVERLOAD_MILLISECONDS);
    private double initialServiceMilliseconds = DEFAULT_SERVICE_MILLISECONDS;
    private double maximumLeadMilliseconds = DEFAULT_LEAD_MILLISECONDS;

    private Builder() {}

    /** Sets the limits. */
    public Builder bounds(QueueBounds value) {
      bounds = value;
      return this;
    }

    /** Sets the order within a team. */
    public Builder order(WithinTeamOrder value) {
      order = value;
      return this;
    }

    /** Sets the service time that is assumed before the first answer, in milliseconds. */
    public Builder initialServiceMilliseconds(double value) {
      initialServiceMilliseconds = value;
      return this;
    }

    /** Sets the largest lead of a team of share 1, in milliseconds of service. */
    public Builder maximumLeadMilliseconds(double value) {
      maximumLeadMilliseconds = value;
      return this;
    }

    /** Returns the settings. */
    public FairQueueSettings build() {
      return new FairQueueSettings(
          bounds, order, initialServiceMilliseconds, maximumLeadMilliseconds);
    }
  }
}
