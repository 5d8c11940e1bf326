package org.flamingochute.decision.admission;

/**
 * Settings of a {@link FairRequestQueue}.
 *
 * @param bounds limits of the queue
 * @param order order of the requests within a team
 * @param initialServiceMilliseconds estimate of the service time before the first response, in
 *     milliseconds
 */
public record FairQueueSettings(
    QueueBounds bounds, WithinTeamOrder order, double initialServiceMilliseconds) {

  /** Returns a builder with the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds settings. */
  public static final class Builder {

    private static final int DEFAULT_WAITING = 256;
    private static final long DEFAULT_OVERLOAD_MILLISECONDS = 250;
    private static final double DEFAULT_SERVICE_MILLISECONDS = 10;

    private QueueBounds bounds = new QueueBounds(DEFAULT_WAITING, DEFAULT_WAITING);
    private WithinTeamOrder order =
        new WithinTeamOrder.NewestUnderOverload(DEFAULT_OVERLOAD_MILLISECONDS);
    private double initialServiceMilliseconds = DEFAULT_SERVICE_MILLISECONDS;

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

    /** Sets the estimate of the service time before the first response, in milliseconds. */
    public Builder initialServiceMilliseconds(double value) {
      initialServiceMilliseconds = value;
      return this;
    }

    /** Returns the settings. */
    public FairQueueSettings build() {
      return new FairQueueSettings(bounds, order, initialServiceMilliseconds);
    }
  }
}
