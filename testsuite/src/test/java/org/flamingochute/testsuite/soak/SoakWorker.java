package org.flamingochute.testsuite.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One incarnation of a worker. Every event is written to the event file before a response tells it.
 * Ends have the time that the lease, the work and the stops imply, so that a slow or frozen process
 * does not change what is recorded.
 */
final class SoakWorker {
  private static final long CHECKPOINT_MILLISECONDS = 400;
  private static final long MAXIMUM_LEASE_MILLISECONDS = 10_000;
  private static final long STOP_MILLISECONDS = 100;
  static final long CAPACITY_MILLICORES = 3_000;
  private static final int PROGRESS_DIGITS = 8;

  private final String id;
  private final long born;
  private final double clockRate;
  private final OutputStream eventFile;
  private final Map<String, Run> running = new TreeMap<>();
  private final List<Finished> finished = new ArrayList<>();
  private final Map<String, Integer> highestBarred = new HashMap<>();
  private long highestToken;
  private long leaseDeadline;
  private long lastLapse = -1;
  private long nextNumber = 1;

  /** A run in progress. */
  static final class Run {
    private final int attempt;
    private final SoakSpec spec;
    private final long start;
    private final long initialProgress;

    /** How much slower the run works than the others. */
    private final int slowness;

    private String saved;
    private long nextCheckpoint;
    private long stopAt = Long.MAX_VALUE;

    private Run(Order order, SoakSpec spec, long start, String checkpoint) {
      this.attempt = order.attempt();
      this.slowness = spec.slownessOf(order.task(), order.attempt());
      this.spec = spec;
      this.start = start;
      this.saved = checkpoint;
      this.initialProgress =
          checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, PROGRESS_DIGITS));
      this.nextCheckpoint = start + CHECKPOINT_MILLISECONDS;
    }

    private long completion() {
      return start + slowness * Math.max(0, spec.workMilliseconds() - initialProgress);
    }

    private long progress(long now) {
      return initialProgress + (now - start) / slowness;
    }

    int attempt() {
      return attempt;
    }

    String saved() {
      return saved;
    }

    int percent(long now) {
      return (int) Math.min(100, 100 * progress(now) / Math.max(1, spec.workMilliseconds()));
    }
  }

  /** A finished run that is not acknowledged yet. */
  record Finished(long number, String task, int attempt, String how, String saved, long at) {}

  SoakWorker(String id, long born, double clockRate, OutputStream eventFile) {
    this.clockRate = clockRate;
    this.id = id;
    this.born = born;
    this.eventFile = eventFile;
  }

  private void record(
      long at, RunEvent.Kind kind, String task, int attempt, String detail, String checkpoint) {
    write(
        new RunEvent(
            epochOf(at), id, born, kind, task, attempt, false, 0, detail, checkpoint, epochOf(at)));
  }

  private long epochOf(long clock) {
    return born + (long) (clock / clockRate);
  }

  private void write(RunEvent event) {
    try {
      eventFile.write(event.toLine().getBytes(StandardCharsets.UTF_8));
      eventFile.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Carries out everything that is due at a time of the worker's clock. */
  void advance(long now) {
    for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
      advanceRun(entry.getKey(), entry.getValue(), now);
    }
  }

  private void advanceRun(String task, Run run, long now) {
    long end = Math.min(run.completion(), Math.min(run.stopAt, leaseDeadline));
    while (run.spec.checkpoints() && run.nextCheckpoint <= Math.min(now, end)) {
      saveProgress(task, run, run.nextCheckpoint);
      run.nextCheckpoint += CHECKPOINT_MILLISECONDS;
    }
    if (now < end) {
      return;
    }
    String how = "lapsed";
    if (end == run.completion()) {
      how = run.attempt <= run.spec.failures() ? "failed" : "done";
    } else if (end == run.stopAt) {
      how = "stopped";
      if (run.spec.checkpoints()) {
        saveProgress(task, run, end);
      }
    }
    String saved = how.equals("done") ? "" : run.saved;
    running.remove(task);
    highestBarred.merge(task, run.attempt, Math::max);
    finished.add(new Finished(nextNumber++, task, run.attempt, how, saved, end));
    record(end, RunEvent.Kind.END, task, run.attempt, how, saved);
  }

  private void saveProgress(String task, Run run, long at) {
    long progress = Math.min(run.progress(at), run.spec.workMilliseconds());
    run.saved = "%08d%08x".formatted(progress, ThreadLocalRandom.current().nextInt() & 0xffffffffL);
    record(at, RunEvent.Kind.CHECKPOINT, task, run.attempt, run.saved, "");
  }

  private boolean acceptToken(long token) {
    if (token < highestToken) {
      return false;
    }
    highestToken = token;
    return true;
  }

  private void extendLease(long deadline, long now) {
    if (leaseDeadline < now) {
      lastLapse = leaseDeadline;
    }
    long newDeadline = Math.min(deadline, now + MAXIMUM_LEASE_MILLISECONDS);
    if (newDeadline > leaseDeadline) {
      leaseDeadline = newDeadline;
      write(
          new RunEvent(
              epochOf(now),
              id,
              born,
              RunEvent.Kind.LEASE,
              "",
              0,
              false,
              0,
              "",
              "",
              epochOf(leaseDeadline)));
    }
  }

  /** Extends the lease and drops acknowledged ends; returns the reason of a refusal. */
  Optional<String> hold(long token, long deadline, long acknowledged, long now) {
    advance(now);
    if (!acceptToken(token)) {
      return Optional.of("fence");
    }
    if (leaseDeadline < now) {
      lastLapse = leaseDeadline;
    }
    for (Finished end : finished) {
      if (end.number() <= acknowledged) {
        String detail = end.how() + (lastLapse >= end.at() ? " after a lapse" : "");
        record(now, RunEvent.Kind.ACKNOWLEDGED, end.task(), end.attempt(), detail, "");
      }
    }
    finished.removeIf(end -> end.number() <= acknowledged);
    extendLease(deadline, now);
    return Optional.empty();
  }

  /** Starts a run unless it is there already; returns the reason of a refusal. */
  Optional<String> start(Order order, String spec, String checkpoint, long deadline, long now) {
    advance(now);
    Optional<String> refusal = checkStart(order, SoakSpec.parse(spec), deadline, now);
    Run present = running.get(order.task());
    if (refusal.isEmpty() && present != null) {
      return refusal;
    }
    RunEvent.Kind kind = refusal.isEmpty() ? RunEvent.Kind.START : RunEvent.Kind.REFUSED_START;
    write(
        new RunEvent(
            epochOf(now),
            id,
            born,
            kind,
            order.task(),
            order.attempt(),
            order.late(),
            order.sentAt(),
            refusal.map(reason -> "refused: " + reason).orElse(spec),
            checkpoint,
            epochOf(leaseDeadline)));
    if (refusal.isEmpty()) {
      running.put(order.task(), new Run(order, SoakSpec.parse(spec), now, checkpoint));
    }
    return refusal;
  }

  private Optional<String> checkStart(Order order, SoakSpec spec, long deadline, long now) {
    if (!acceptToken(order.token())) {
      return Optional.of("fence");
    }
    if (deadline <= now) {
      return Optional.of("late");
    }
    extendLease(deadline, now);
    Run present = running.get(order.task());
    if (present != null) {
      return present.attempt == order.attempt() ? Optional.empty() : Optional.of("old");
    }
    if (order.attempt() <= highestBarred.getOrDefault(order.task(), 0)) {
      return Optional.of("old");
    }
    long used = running.values().stream().mapToLong(run -> run.spec.millicores()).sum();
    return used + spec.millicores() > CAPACITY_MILLICORES ? Optional.of("room") : Optional.empty();
  }

  /** Stops a run, or bars it if it is not there; returns the reason of a refusal. */
  Optional<String> stop(Order order, long now) {
    advance(now);
    boolean accepted = acceptToken(order.token());
    write(
        new RunEvent(
            epochOf(now),
            id,
            born,
            RunEvent.Kind.STOP,
            order.task(),
            order.attempt(),
            order.late(),
            order.sentAt(),
            accepted ? "" : "refused: fence",
            "",
            0));
    if (!accepted) {
      return Optional.of("fence");
    }
    Run present = running.get(order.task());
    if (present != null && present.attempt == order.attempt()) {
      present.stopAt = Math.min(present.stopAt, now + STOP_MILLISECONDS);
    } else {
      highestBarred.merge(order.task(), order.attempt(), Math::max);
    }
    return Optional.empty();
  }

  Map<String, Run> running() {
    return running;
  }

  List<Finished> finished() {
    return finished;
  }

  /**
   * An order for a run.
   *
   * @param late whether it was delivered after its sender had given up
   * @param sentAt time at which it left its node, in milliseconds since the epoch
   */
  record Order(String task, int attempt, long token, boolean late, long sentAt) {}
}
