package org.flamingochute.scheduling.core;

/** Durations and deadlines of the scheduler, in milliseconds. */
public final class SchedulerSettings {
  private final long leaseMilliseconds;
  private final long maximumLeaseMilliseconds;
  private final long renewalWithoutStoreMilliseconds;
  private final long statusRetentionMilliseconds;
  private final long fenceMilliseconds;
  private final long interferenceMilliseconds;
  private final long absenceNoticeMilliseconds;
  private final long moveMilliseconds;
  private final long maintenanceMilliseconds;
  private final SchedulingFeatures features;

  private SchedulerSettings(Builder builder) {
    leaseMilliseconds = builder.leaseMilliseconds;
    maximumLeaseMilliseconds = builder.maximumLeaseMilliseconds;
    renewalWithoutStoreMilliseconds = builder.renewalWithoutStoreMilliseconds;
    statusRetentionMilliseconds = builder.statusRetentionMilliseconds;
    fenceMilliseconds = builder.fenceMilliseconds;
    interferenceMilliseconds = builder.interferenceMilliseconds;
    absenceNoticeMilliseconds = builder.absenceNoticeMilliseconds;
    moveMilliseconds = builder.moveMilliseconds;
    maintenanceMilliseconds = builder.maintenanceMilliseconds;
    features = builder.features;
  }

  /** Returns a builder with the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the duration of the lease that a renewal grants to a worker. */
  public long leaseMilliseconds() {
    return leaseMilliseconds;
  }

  /** Returns how long leases are still renewed after the last response of the store. */
  public long renewalWithoutStoreMilliseconds() {
    return renewalWithoutStoreMilliseconds;
  }

  /** Returns how long the state of an ended job is retained. */
  public long statusRetentionMilliseconds() {
    return statusRetentionMilliseconds;
  }

  /**
   * Returns how long a new leader moves and maintains no machines after the last time at which its
   * predecessor, if that may still be running, may have sent such a command.
   */
  public long fenceMilliseconds() {
    return fenceMilliseconds;
  }

  /** Returns the longest time for which fillers may keep a serving task above its tail target. */
  public long interferenceMilliseconds() {
    return interferenceMilliseconds;
  }

  /** Returns the time for which a task that is not running counts as unavailable. */
  public long absenceNoticeMilliseconds() {
    return absenceNoticeMilliseconds;
  }

  /** Returns the duration of a machine move. */
  public long moveMilliseconds() {
    return moveMilliseconds;
  }

  /** Returns the duration of a machine's maintenance. */
  public long maintenanceMilliseconds() {
    return maintenanceMilliseconds;
  }

  /**
   * Returns the time after which all leases that another leader may have renewed have certainly
   * expired: it renews leases for a while without the store, and a worker's clock may be slow.
   */
  public long inheritedLeaseMilliseconds() {
    return renewalWithoutStoreMilliseconds + leaseExpiryMilliseconds();
  }

  /** Returns the time after a renewal at which its lease has certainly expired. */
  public long leaseExpiryMilliseconds() {
    return expiryMilliseconds(leaseMilliseconds);
  }

  /** Returns the time after which the longest lease that a worker accepts has certainly expired. */
  public long longestLeaseExpiryMilliseconds() {
    return expiryMilliseconds(maximumLeaseMilliseconds);
  }

  /**
   * Returns for how long after a successful append was sent a leader may send starts. It is shorter
   * than the time for which it renews leases, so that a leader that may have been replaced starts
   * nothing new while it keeps what runs.
   */
  public long startValidityMilliseconds() {
    return START_VALIDITY_MILLISECONDS;
  }

  private static long expiryMilliseconds(long lease) {
    return lease + lease / CLOCK_ERROR_DIVISOR + TASK_STOP_MILLISECONDS;
  }

  /** A worker's clock may be 2 % slow; 1/40 leaves a margin. */
  private static final long CLOCK_ERROR_DIVISOR = 40;

  /** Time within which a worker stops its tasks after the lease has expired. */
  private static final long TASK_STOP_MILLISECONDS = 300;

  /** Longer than an append takes, which the store refuses if it would have to wait for 2 s. */
  private static final long START_VALIDITY_MILLISECONDS = 2_500;

  /** Returns the optional parts that are enabled. */
  public SchedulingFeatures features() {
    return features;
  }

  /** Builds settings. */
  public static final class Builder {
    private long leaseMilliseconds = 3_500;
    private long maximumLeaseMilliseconds = 10_000;
    private long renewalWithoutStoreMilliseconds = 5_500;
    private long statusRetentionMilliseconds = 120_000;
    private long fenceMilliseconds = 3_000;
    private long interferenceMilliseconds = 4_000;
    private long absenceNoticeMilliseconds = 4_500;
    private long moveMilliseconds = 1_500;
    private long maintenanceMilliseconds = 2_000;
    private SchedulingFeatures features = SchedulingFeatures.NONE;

    private Builder() {}

    /** Sets the duration of the lease that a renewal grants to a worker. */
    public Builder leaseMilliseconds(long value) {
      leaseMilliseconds = value;
      return this;
    }

    /** Sets the longest lease that a worker accepts; it shortens longer ones. */
    public Builder maximumLeaseMilliseconds(long value) {
      maximumLeaseMilliseconds = value;
      return this;
    }

    /** Sets how long leases are still renewed after the last response of the store. */
    public Builder renewalWithoutStoreMilliseconds(long value) {
      renewalWithoutStoreMilliseconds = value;
      return this;
    }

    /** Sets how long the state of an ended job is retained. */
    public Builder statusRetentionMilliseconds(long value) {
      statusRetentionMilliseconds = value;
      return this;
    }

    /**
     * Sets how long a new leader moves and maintains no machines after the last time at which its
     * predecessor, if that may still be running, may have sent such a command.
     */
    public Builder fenceMilliseconds(long value) {
      fenceMilliseconds = value;
      return this;
    }

    /** Sets the longest time for which fillers may keep a serving task above its tail target. */
    public Builder interferenceMilliseconds(long value) {
      interferenceMilliseconds = value;
      return this;
    }

    /** Sets the time for which a task that is not running counts as unavailable. */
    public Builder absenceNoticeMilliseconds(long value) {
      absenceNoticeMilliseconds = value;
      return this;
    }

    /** Sets the duration of a machine move. */
    public Builder moveMilliseconds(long value) {
      moveMilliseconds = value;
      return this;
    }

    /** Sets the duration of a machine's maintenance. */
    public Builder maintenanceMilliseconds(long value) {
      maintenanceMilliseconds = value;
      return this;
    }

    /** Sets the optional parts that are enabled; none by default. */
    public Builder features(SchedulingFeatures value) {
      features = value;
      return this;
    }

    /** Returns the settings. */
    public SchedulerSettings build() {
      return new SchedulerSettings(this);
    }
  }
}
