package org.flamingochute.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines from a thread of its own, so that no caller ever waits for the reader of the
 * log.
 *
 * <p>Lines wait in a bounded queue. When it is full, further lines are dropped and counted, and a
 * line with the count follows as soon as there is room.
 */
public final class BoundedLogHandler extends Handler {
  private static final int WAITING_LINES = 4_096;
  private static final long FLUSH_MILLISECONDS = 500;
  private static final long POLL_MILLISECONDS = 2;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(WAITING_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong written = new AtomicLong();
  private final AtomicLong accepted = new AtomicLong();
  private final OutputStream output;
  private final Formatter formatter;

  /**
   * Creates a handler and starts its thread.
   *
   * @param output receives the lines
   * @param formatter makes a line of a record, with its end
   */
  public BoundedLogHandler(OutputStream output, Formatter formatter) {
    this.output = output;
    this.formatter = formatter;
    Thread writer = new Thread(this::run, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    if (lines.offer(formatter.format(record))) {
      accepted.incrementAndGet();
    } else {
      dropped.incrementAndGet();
    }
  }

  private void run() {
    try {
      while (true) {
        write(lines.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(String first) {
    StringBuilder text = new StringBuilder(first);
    long count = 1;
    String next = lines.poll();
    while (next != null) {
      text.append(next);
      count++;
      next = lines.poll();
    }
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      text.append("event=log_lines_dropped count=").append(lost).append('\n');
    }
    try {
      output.write(text.toString().getBytes(StandardCharsets.UTF_8));
      output.flush();
    } catch (IOException e) {
      // There is no other place to report that the log has no reader; the lines count as dropped.
      dropped.addAndGet(count);
    }
    written.addAndGet(count);
  }

  /** Waits a moment until the lines so far are written. */
  @Override
  public void flush() {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_MILLISECONDS);
    long target = accepted.get();
    while (written.get() < target && System.nanoTime() < end) {
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  @Override
  public void close() {
    flush();
  }
}
