package org.flamingochute.scheduling.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs random schedules by seed on several cores, without a limit of time.
 *
 * <p>Arguments: first seed, number of schedules, number of threads. Prints the seed and the message
 * of each schedule that fails, with its events if only one is run, and at the end a line with
 * counts. Exits with 1 if a schedule failed. Schedules share no state but the loggers, which are
 * off.
 */
final class ScheduleSweep {
  /** Holds the logger, whose level would be lost with it. */
  private static final Logger LOGGER = Logger.getLogger("org.flamingochute");

  /** Number of schedules after which a line on standard error tells how many were run. */
  private static final long PROGRESS_INTERVAL = 1_000;

  private final long firstSeed;
  private final long count;
  private final AtomicLong nextSeed;
  private final AtomicLong done = new AtomicLong();
  private final AtomicLong failures = new AtomicLong();

  private ScheduleSweep(long firstSeed, long count) {
    this.firstSeed = firstSeed;
    this.count = count;
    nextSeed = new AtomicLong(firstSeed);
  }

  /** Runs the schedules. */
  public static void main(String[] arguments) throws InterruptedException {
    LOGGER.setLevel(Level.OFF);
    ScheduleSweep sweep =
        new ScheduleSweep(Long.parseLong(arguments[0]), Long.parseLong(arguments[1]));
    boolean held = sweep.run(Integer.parseInt(arguments[2]));
    System.exit(held ? 0 : 1);
  }

  private boolean run(int threadCount) throws InterruptedException {
    final long startedAt = System.nanoTime();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < threadCount; i++) {
      threads.add(Thread.ofPlatform().start(this::runSchedules));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    System.out.printf(
        "schedules=%d first=%d last=%d failed=%d seconds=%.1f%n",
        count,
        firstSeed,
        firstSeed + count - 1,
        failures.get(),
        (System.nanoTime() - startedAt) / 1e9);
    return failures.get() == 0;
  }

  private void runSchedules() {
    long seed = nextSeed.getAndIncrement();
    while (seed < firstSeed + count) {
      runSchedule(seed);
      long ran = done.incrementAndGet();
      if (ran % PROGRESS_INTERVAL == 0) {
        System.err.println("schedules_done=" + ran + " failed=" + failures.get());
      }
      seed = nextSeed.getAndIncrement();
    }
  }

  private void runSchedule(long seed) {
    try {
      new RandomSchedule(seed).run();
    } catch (AssertionError | RuntimeException failure) {
      failures.incrementAndGet();
      String message = String.valueOf(failure.getMessage());
      System.out.println("seed " + seed + ": " + (count == 1 ? message : firstLine(message)));
      if (failure instanceof RuntimeException) {
        failure.printStackTrace(System.out);
      }
    }
  }

  private static String firstLine(String message) {
    return message.lines().findFirst().orElse("");
  }
}
