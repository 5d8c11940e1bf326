package org.flamingochute.testsuite.simulation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.flamingochute.platform.Timers;

/**
 * One start of a process: the owner of timers and of everything that arrives for it.
 *
 * <p>A frozen process runs nothing; what falls due meanwhile runs when it is thawed, in order. A
 * killed process never runs anything again.
 */
public final class SimulatedProcess implements Timers {

  private final String name;
  private final VirtualClock clock;
  private final Queue<Runnable> heldBack = new ArrayDeque<>();
  private boolean frozen;
  private boolean killed;

  /** Creates a running process. */
  public SimulatedProcess(String name, VirtualClock clock) {
    this.name = name;
    this.clock = clock;
  }

  /** Returns the name of the instance that the process runs on. */
  public String name() {
    return name;
  }

  /** Tells whether the process was killed. */
  public boolean isKilled() {
    return killed;
  }

  /** Tells whether the process is frozen. */
  public boolean isFrozen() {
    return frozen;
  }

  /** Ends the process at once. */
  public void kill() {
    killed = true;
    heldBack.clear();
  }

  /** Stops the process from running anything. */
  public void freeze() {
    frozen = true;
  }

  /** Lets the process go on with what fell due while it was frozen. */
  public void thaw() {
    frozen = false;
    while (!frozen && !heldBack.isEmpty()) {
      heldBack.poll().run();
    }
  }

  /** Runs a task in the process after a delay, unless it is killed by then. */
  public void runAfter(long delayMilliseconds, Runnable task) {
    clock.after(delayMilliseconds, () -> runOrHoldBack(task));
  }

  private void runOrHoldBack(Runnable task) {
    if (killed) {
      return;
    }
    if (frozen) {
      heldBack.add(task);
      return;
    }
    task.run();
  }

  @Override
  public long wallMilliseconds() {
    return clock.wallMilliseconds();
  }

  @Override
  public long monotonicMilliseconds() {
    return clock.nowMilliseconds();
  }

  @Override
  public Cancellation schedule(Duration delay, Runnable task) {
    ScheduledTask scheduled = new ScheduledTask(task);
    runAfter(delay.toMillis(), scheduled);
    return scheduled;
  }

  private static final class ScheduledTask implements Runnable, Cancellation {

    private final Runnable task;
    private boolean cancelled;

    ScheduledTask(Runnable task) {
      this.task = task;
    }

    @Override
    public void run() {
      if (!cancelled) {
        task.run();
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }
}
