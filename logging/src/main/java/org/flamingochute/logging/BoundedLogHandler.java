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
 * Writes log lines from a separate thread, so that callers never block on a slow reader of the log.
 *
 * <p>Lines are kept in a bounded queue. While it is full, further lines are dropped and counted,
 * and a line with the count is written with the next lines.
 */
public final class BoundedLogHandler extends Handler {
  private static final int MAXIMUM_QUEUED_LINES = 4_096;
  private static final long FLUSH_TIMEOUT_MILLISECONDS = 500;
  private static final long POLL_INTERVAL_MILLISECONDS = 2;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final AtomicLong writtenLines = new AtomicLong();
  private final AtomicLong acceptedLines = new AtomicLong();
  private final OutputStream output;
  private final Formatter formatter;

  /**
   * Creates a handler and starts its thread.
   *
   * @param output stream that the lines are written to
   * @param formatter formats a record as one line, including the line end
   */
  public BoundedLogHandler(OutputStream output, Formatter formatter) {
    this.output = output;
    this.formatter = formatter;
    Thread writer = new Thread(this::writeLines, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    if (lines.offer(formatter.format(record))) {
      acceptedLines.incrementAndGet();
    } else {
      droppedLines.incrementAndGet();
    }
  }

  private void writeLines() {
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
    long droppedCount = droppedLines.getAndSet(0);
    if (droppedCount > 0) {
      text.append("event=log_lines_dropped count=").append(droppedCount).append('\n');
    }
    try {
      output.write(text.toString().getBytes(StandardCharsets.UTF_8));
      output.flush();
    } catch (IOException e) {
      // There is no other place to report that the log cannot be written; the lines count as
      // dropped.
      droppedLines.addAndGet(count);
    }
    writtenLines.addAndGet(count);
  }

  /** Waits until the lines accepted so far are written, but for no longer than 500 ms. */
  @Override
  public void flush() {
    long deadlineNanoseconds =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLISECONDS);
    long target = acceptedLines.get();
    while (writtenLines.get() < target && System.nanoTime() < deadlineNanoseconds) {
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLISECONDS);
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
