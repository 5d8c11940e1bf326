package org.flamingochute.scheduling.speculation;

/** Decides which runs get a copy, and how many copies a pool may have. */
public final class CopyPolicy {
  /**
   * Expected remaining time of a run, as a multiple of that of a fresh run, from which it
   * qualifies. The slow runs of the users' queues take seven times as long as the others.
   */
  private static final long SLOW_RUN_FACTOR = 2;

  /** Shortest time since its start after which a run's percentage is compared. */
  private static final long MINIMUM_ELAPSED_MILLISECONDS = 250;

  /** Divisor of the expected duration that gives the time from which a percentage is compared. */
  private static final long EXPECTED_DURATION_DIVISOR = 4;

  /** Time without a status after which the run on a silent worker qualifies: four status reads. */
  private static final long SILENCE_MILLISECONDS = 400;

  /** One of this many running tasks may have a copy; 3 in 100 tasks are expected to be slow. */
  private static final int RUNNING_TASKS_PER_COPY = 10;

  private CopyPolicy() {}

  /** Returns whether a run is slow enough, or its worker silent for long enough, for a copy. */
  public static boolean qualifies(RunObservation run) {
    if (run.silentMilliseconds() >= SILENCE_MILLISECONDS) {
      return true;
    }
    boolean isMeasured =
        run.expectedMilliseconds() > 0
            && run.elapsedMilliseconds() >= MINIMUM_ELAPSED_MILLISECONDS
            && run.elapsedMilliseconds() >= run.expectedMilliseconds() / EXPECTED_DURATION_DIVISOR;
    if (!isMeasured) {
      return false;
    }
    long factor = run.workerSlow() ? 1 : SLOW_RUN_FACTOR;
    return run.remainingMilliseconds() > factor * run.expectedMilliseconds();
  }

  /** Returns how many tasks of a pool may have copies, including those that have one. */
  public static int maximumCopies(int runningTasks) {
    return Math.max(1, runningTasks / RUNNING_TASKS_PER_COPY);
  }
}
