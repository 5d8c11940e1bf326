package org.flamingochute.engine.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.platform.Timers;

/** The timers of one process, which can be frozen: what comes due meanwhile runs at the thaw. */
public final class PausableTimers implements Timers {

  private final VirtualTimers clock;
  private final List<Runnable> held = new ArrayList<>();
  private boolean frozen;
  private boolean dead;

  /** Creates the timers of a process that runs. */
  public PausableTimers(VirtualTimers clock) {
    this.clock = clock;
  }

  @Override
  public long wallMilliseconds() {
    return clock.wallMilliseconds();
  }

  @Override
  public long monotonicMilliseconds() {
    return clock.monotonicMilliseconds();
  }

  @Override
  public Cancellation schedule(Duration delay, Runnable task) {
    boolean[] cancelled = new boolean[1];
    Runnable unlessCancelled =
        () -> {
          if (!cancelled[0]) {
            task.run();
          }
        };
    Cancellation timer = clock.schedule(delay, () -> runOrHold(unlessCancelled));
    return () -> {
      cancelled[0] = true;
      timer.cancel();
    };
  }

  /** Runs a task of the process now, or at the thaw. */
  public void runOrHold(Runnable task) {
    if (dead) {
      return;
    }
    if (frozen) {
      held.add(task);
      return;
    }
    task.run();
  }

  /** Stops the process as SIGSTOP would. */
  public void freeze() {
    frozen = true;
  }

  /** Lets the process go on; all that was held runs at once. */
  public void thaw() {
    frozen = false;
    List<Runnable> due = List.copyOf(held);
    held.clear();
    due.forEach(Runnable::run);
  }

  /** Ends the process for good. */
  public void kill() {
    dead = true;
    held.clear();
  }

  /** Tells whether the process was killed. */
  public boolean isDead() {
    return dead;
  }
}
