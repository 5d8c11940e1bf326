package org.flamingochute.engine.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.platform.Timers;

/** The timers of one process that can be paused; tasks due during the pause run on resume. */
public final class PausableTimers implements Timers {

  private final VirtualTimers clock;
  private final List<Runnable> deferred = new ArrayList<>();
  private boolean paused;
  private boolean dead;

  /** Creates the timers of a running process. */
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
    Cancellation timer = clock.schedule(delay, () -> runOrDefer(unlessCancelled));
    return () -> {
      cancelled[0] = true;
      timer.cancel();
    };
  }

  /** Runs a task of the process now, or on resume if the process is paused. */
  public void runOrDefer(Runnable task) {
    if (dead) {
      return;
    }
    if (paused) {
      deferred.add(task);
      return;
    }
    task.run();
  }

  /** Pauses the process, like SIGSTOP. */
  public void pause() {
    paused = true;
  }

  /** Resumes the process; all deferred tasks run immediately. */
  public void resume() {
    paused = false;
    List<Runnable> due = List.copyOf(deferred);
    deferred.clear();
    due.forEach(Runnable::run);
  }

  /** Kills the process. */
  public void kill() {
    dead = true;
    deferred.clear();
  }

  /** Returns whether the process was killed. */
  public boolean isDead() {
    return dead;
  }
}
