package org.flamingochute.testsuite.simulation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.flamingochute.platform.Timers;

/**
 * One incarnation of a process, which executes its timers and received messages.
 *
 * <p>A frozen process executes nothing; tasks that become due in the meantime run in order when it
 * resumes. A killed process never executes anything again.
 */
public final class SimulatedProcess implements Timers {

  private final String name;
  private final VirtualClock clock;
  private final Queue<Runnable> deferredTasks = new ArrayDeque<>();
  private boolean isFrozen;
  private boolean isKilled;

  /** Creates a running process. */
  public SimulatedProcess(String name, VirtualClock clock) {
    this.name = name;
    this.clock = clock;
  }

  /** Returns the name of the instance that the process runs on. */
  public String name() {
    return name;
  }

  /** Returns whether the process was killed. */
  public boolean isKilled() {
    return isKilled;
  }

  /** Returns whether the process is frozen. */
  public boolean isFrozen() {
    return isFrozen;
  }

  /** Terminates the process immediately. */
  public void kill() {
    isKilled = true;
    deferredTasks.clear();
  }

  /** Suspends the execution of all tasks. */
  public void freeze() {
    isFrozen = true;
  }

  /** Resumes the process and executes the tasks that became due while it was frozen. */
  public void resume() {
    isFrozen = false;
    while (!isFrozen && !deferredTasks.isEmpty()) {
      deferredTasks.poll().run();
    }
  }

  /**
   * Runs a task in the process after a delay in milliseconds, unless the process is killed by then.
   */
  public void runAfter(long delayMilliseconds, Runnable task) {
    clock.runAfter(delayMilliseconds, () -> runOrDefer(task));
  }

  private void runOrDefer(Runnable task) {
    if (isKilled) {
      return;
    }
    if (isFrozen) {
      deferredTasks.add(task);
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
    private boolean isCancelled;

    ScheduledTask(Runnable task) {
      this.task = task;
    }

    @Override
    public void run() {
      if (!isCancelled) {
        task.run();
      }
    }

    @Override
    public void cancel() {
      isCancelled = true;
    }
  }
}
