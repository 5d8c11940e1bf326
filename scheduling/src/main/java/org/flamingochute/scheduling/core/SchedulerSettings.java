package org.flamingochute.scheduling.core;

/** Times that the scheduler keeps, in milliseconds. */
public final class SchedulerSettings {
  private final long leaseMilliseconds;
  private final long holdWithoutStoreMilliseconds;
  private final long statusRetentionMilliseconds;
  private final long fenceMilliseconds;
  private final long interferenceMilliseconds;
  private final long absenceNoticeMilliseconds;
  private final long moveMilliseconds;
  private final long maintenanceMilliseconds;

  private SchedulerSettings(Builder builder) {
    leaseMilliseconds = builder.leaseMilliseconds;
    holdWithoutStoreMilliseconds = builder.holdWithoutStoreMilliseconds;
    statusRetentionMilliseconds = builder.statusRetentionMilliseconds;
    fenceMilliseconds = builder.fenceMilliseconds;
    interferenceMilliseconds = builder.interferenceMilliseconds;
    absenceNoticeMilliseconds = builder.absenceNoticeMilliseconds;
    moveMilliseconds = builder.moveMilliseconds;
    maintenanceMilliseconds = builder.maintenanceMilliseconds;
  }

  /** Starts from the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the lease that a renewal asks a worker for. */
  public long leaseMilliseconds() {
    return leaseMilliseconds;
  }

  /** Returns for how long leases are renewed while the store does not answer. */
  public long holdWithoutStoreMilliseconds() {
    return holdWithoutStoreMilliseconds;
  }

  /** Returns for how long the state of an ended job is kept. */
  public long statusRetentionMilliseconds() {
    return statusRetentionMilliseconds;
  }

  /** Returns the time after taking over in which no machine is moved or maintained. */
  public long fenceMilliseconds() {
    return fenceMilliseconds;
  }

  /** Returns the longest time that fillers may keep a serving task above its tail target. */
  public long interferenceMilliseconds() {
    return interferenceMilliseconds;
  }

  /** Returns the time for which a task that is not at work counts as unavailable. */
  public long absenceNoticeMilliseconds() {
    return absenceNoticeMilliseconds;
  }

  /** Returns the time that a move of a machine takes. */
  public long moveMilliseconds() {
    return moveMilliseconds;
  }

  /** Returns the time that the upkeep of a machine takes. */
  public long maintenanceMilliseconds() {
    return maintenanceMilliseconds;
  }

  /**
   * Returns a time after which everything that another scheduler may have held certainly ended: it
   * renews leases for a while without the store, and a worker's clock may be slow.
   */
  public long foreignLeaseMilliseconds() {
    return holdWithoutStoreMilliseconds + lapseMilliseconds();
  }

  /** Returns a time after a renewal at which its lease has certainly expired. */
  public long lapseMilliseconds() {
    return leaseMilliseconds + leaseMilliseconds / CLOCK_ERROR_DIVISOR + LAPSE_SLACK_MILLISECONDS;
  }

  /** A worker's clock may be 2 % slow; 1 part in 40 leaves a margin. */
  private static final long CLOCK_ERROR_DIVISOR = 40;

  /** Time in which a worker ends what lost its lease. */
  private static final long LAPSE_SLACK_MILLISECONDS = 300;

  /** Builds settings. */
  public static final class Builder {
    private long leaseMilliseconds = 3_500;
    private long holdWithoutStoreMilliseconds = 5_500;
    private long statusRetentionMilliseconds = 120_000;
    private long fenceMilliseconds = 3_000;
    private long interferenceMilliseconds = 4_000;
    private long absenceNoticeMilliseconds = 4_500;
    private long moveMilliseconds = 1_500;
    private long maintenanceMilliseconds = 2_000;

    private Builder() {}

    /** Sets the lease that a renewal asks a worker for. */
    public Builder leaseMilliseconds(long value) {
      leaseMilliseconds = value;
      return this;
    }

    /** Sets for how long leases are renewed while the store does not answer. */
    public Builder holdWithoutStoreMilliseconds(long value) {
      holdWithoutStoreMilliseconds = value;
      return this;
    }

    /** Sets for how long the state of an ended job is kept. */
    public Builder statusRetentionMilliseconds(long value) {
      statusRetentionMilliseconds = value;
      return this;
    }

    /** Sets the time after taking over in which no machine is moved or maintained. */
    public Builder fenceMilliseconds(long value) {
      fenceMilliseconds = value;
      return this;
    }

    /** Sets the longest time that fillers may keep a serving task above its tail target. */
    public Builder interferenceMilliseconds(long value) {
      interferenceMilliseconds = value;
      return this;
    }

    /** Sets the time for which a task that is not at work counts as unavailable. */
    public Builder absenceNoticeMilliseconds(long value) {
      absenceNoticeMilliseconds = value;
      return this;
    }

    /** Sets the time that a move of a machine takes. */
    public Builder moveMilliseconds(long value) {
      moveMilliseconds = value;
      return this;
    }

    /** Sets the time that the upkeep of a machine takes. */
    public Builder maintenanceMilliseconds(long value) {
      maintenanceMilliseconds = value;
      return this;
    }

    /** Returns the settings. */
    public SchedulerSettings build() {
      return new SchedulerSettings(this);
    }
  }
}
