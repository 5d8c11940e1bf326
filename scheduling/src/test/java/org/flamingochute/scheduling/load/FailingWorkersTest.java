package org.flamingochute.scheduling.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.flogger.FluentLogger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against LOST, a task that waits beside sound workers that were broken once, and against
 * its opposite, work that is burnt on workers that still are.
 */
class FailingWorkersTest {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int WORKERS = 14;
  private static final int BROKEN_WORKERS = 2;
  private static final int LASTING_TASKS = 13;

  /** A little more than the sound workers can do, so that tasks wait. */
  private static final long FULL_INTERVAL_MILLISECONDS = 70;

  /** A third of what the pool can do. */
  private static final long EASY_INTERVAL_MILLISECONDS = 250;

  /** Longest time for which a task that can run may wait, from the users' rules. */
  private static final long WAIT_LIMIT_MILLISECONDS = 3_000;

  private final FailingWorkers pool = new FailingWorkers(WORKERS);

  private void log(String scenario) {
    logger.atInfo().log(
        "event=failing_workers scenario=%s burnt_runs=%d longest_idle_ms=%d failed_jobs=%d",
        scenario, pool.burntRuns(), pool.longestIdleMilliseconds(), pool.failedJobs());
  }

  /** Jobs whose last task fits only on a worker that was broken. */
  @ParameterizedTest
  @CsvSource({"4500, 8000", "6500, 8000", "6500, 4000", "20000, 4000"})
  void tasksThatLastRunOnWorkersThatAreSoundAgain(long brokenMilliseconds, long calmMilliseconds) {
    pool.setFailing(BROKEN_WORKERS);
    pool.advance(brokenMilliseconds, FULL_INTERVAL_MILLISECONDS);
    pool.setFailing(0);
    pool.advance(calmMilliseconds);
    pool.submitLasting("first", LASTING_TASKS);
    pool.advance(26_000);
    pool.submitLasting("second", LASTING_TASKS);
    pool.advance(1_000);
    pool.submitLasting("third", LASTING_TASKS);
    pool.advance(30_000);
    log("sound_again_after_" + brokenMilliseconds);
    assertThat(pool.longestIdleMilliseconds(), is(lessThanOrEqualTo(WAIT_LIMIT_MILLISECONDS)));
    assertThat(pool.failedJobs(), is(0L));
  }

  /** A worker that fails all that it starts is always free, and must not attract the work. */
  @ParameterizedTest
  @ValueSource(longs = {FULL_INTERVAL_MILLISECONDS, EASY_INTERVAL_MILLISECONDS})
  void brokenWorkersBurnFewRuns(long intervalMilliseconds) {
    final long brokenMilliseconds = 60_000;
    pool.setFailing(BROKEN_WORKERS);
    pool.advance(brokenMilliseconds, intervalMilliseconds);
    log("broken_at_interval_" + intervalMilliseconds);
    // Three jobs until a worker is suspended, and then one run in four seconds.
    int limit = BROKEN_WORKERS * (3 + (int) (brokenMilliseconds / 4_000) + 1);
    assertThat(pool.burntRuns(), is(lessThanOrEqualTo(limit)));
    assertThat(pool.failedJobs(), is(0L));
  }

  /** Jobs that fail everywhere must not take sound workers out of use. */
  @Test
  void hopelessJobsLeaveTheWorkersInUse() {
    for (int i = 0; i < 60; i++) {
      pool.submitShort(true);
      pool.advance(500, EASY_INTERVAL_MILLISECONDS);
    }
    final long hopelessJobs = 60;
    pool.submitLasting("first", LASTING_TASKS);
    pool.advance(10_000, EASY_INTERVAL_MILLISECONDS);
    log("hopeless_jobs");
    assertThat(pool.failedJobs(), is(hopelessJobs));
    assertThat(pool.longestIdleMilliseconds(), is(lessThanOrEqualTo(WAIT_LIMIT_MILLISECONDS)));
  }

  /** A leader that takes over knows of no broken workers, and finds them out again. */
  @Test
  void successorFindsBrokenWorkersOut() {
    pool.setFailing(BROKEN_WORKERS);
    pool.advance(10_000, FULL_INTERVAL_MILLISECONDS);
    final int burntBefore = pool.burntRuns();
    pool.fleet().replaceLeader(true);
    pool.advance(10_000, FULL_INTERVAL_MILLISECONDS);
    log("takeover");
    // Three jobs on each, and the trial runs of ten seconds.
    assertThat(pool.burntRuns() - burntBefore, is(lessThanOrEqualTo(BROKEN_WORKERS * (3 + 3))));
    assertThat(pool.failedJobs(), is(0L));
  }
}
