package org.flamingochute.node.leadership;

import io.activej.eventloop.Eventloop;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.wire.LeaseRenewal;
import org.flamingochute.platform.wire.TaskStop;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.StartOutcome;
import org.flamingochute.scheduling.worker.WorkerReport;

/**
 * The talk with one incarnation of a worker: renews its lease with calls that wait for an end of a
 * run, and carries orders to it.
 *
 * <p>After a listing with ends the next renewal waits until these are recorded and may be
 * acknowledged, since the worker would only list them again. Runs on one event loop.
 */
final class WorkerSession {
  /** Longest time for which a renewal waits at the worker for an end. */
  private static final long WAIT_MILLISECONDS = 900;

  private static final long RENEWAL_SLACK_MILLISECONDS = 700;
  private static final long ORDER_TIMEOUT_MILLISECONDS = 900;
  private static final long FIRST_RETRY_MILLISECONDS = 50;
  private static final long LONGEST_RETRY_MILLISECONDS = 400;

  /** Longest wait for ends to be recorded before the lease is renewed without acknowledging. */
  private static final long RECORDING_MILLISECONDS = 500;

  private final Eventloop loop;
  private final NodeClock clock;
  private final WorkerClient client;
  private final LeadershipContext leadership;
  private final Scheduler scheduler;
  private final WorkerClock workerClock = new WorkerClock();
  private WorkerReport worker;
  private long acknowledged;
  private long listedEnds;
  private long retryMilliseconds = FIRST_RETRY_MILLISECONDS;
  private boolean stopped;
  private boolean waitsForRecording;

  WorkerSession(
      Eventloop loop,
      NodeClock clock,
      WorkerClient client,
      LeadershipContext leadership,
      Scheduler scheduler,
      WorkerReport worker) {
    this.loop = loop;
    this.clock = clock;
    this.client = client;
    this.leadership = leadership;
    this.scheduler = scheduler;
    this.worker = worker;
  }

  void start() {
    renew();
  }

  void stop() {
    stopped = true;
  }

  /** Takes a newer report of the same incarnation. */
  void update(WorkerReport report) {
    worker = report;
  }

  private void renew() {
    if (stopped) {
      return;
    }
    waitsForRecording = false;
    if (!leadership.mayHold()) {
      loop.delay(LONGEST_RETRY_MILLISECONDS, this::renew);
      return;
    }
    long sentAt = clock.steady();
    // A call that extends the lease of a worker that does not answer would keep its tasks from
    // starting elsewhere, so such a worker is only asked.
    boolean extending = workerClock.isKnown() && !scheduler.isUnreachable(worker.key());
    long deadline = extending ? deadline(sentAt) : 0;
    boolean endsListed = listedEnds > acknowledged;
    long wait = extending && !endsListed ? WAIT_MILLISECONDS : 0;
    if (extending) {
      scheduler.onLeaseSent(worker.key(), sentAt);
    }
    client
        .renew(
            worker,
            deadline,
            leadership.epoch(),
            acknowledged,
            wait,
            wait + RENEWAL_SLACK_MILLISECONDS)
        .thenAccept(result -> renewed(result, sentAt));
  }

  private long deadline(long now) {
    return workerClock.isKnown() ? workerClock.at(now) + leadership.leaseMilliseconds() : 0;
  }

  private void renewed(LeaseRenewal result, long sentAt) {
    if (stopped) {
      return;
    }
    switch (result) {
      case LeaseRenewal.Renewed renewed -> {
        retryMilliseconds = FIRST_RETRY_MILLISECONDS;
        workerClock.observe(renewed.listing().clockMilliseconds(), clock.steady());
        scheduler.onLeaseRenewed(
            worker.key(), renewed.listing(), sentAt, clock.steady(), clock.wallClockMilliseconds());
        leadership.changed();
        renewAfter(renewed);
      }
      case LeaseRenewal.Fenced fenced -> leadership.fenced("worker " + worker.key());
      case LeaseRenewal.Gone gone -> {
        scheduler.onRenewalFailed(worker.key(), true, "gone");
        leadership.changed();
        retry();
      }
      case LeaseRenewal.Failed failed -> {
        scheduler.onRenewalFailed(worker.key(), false, failed.detail());
        leadership.changed();
        retry();
      }
    }
  }

  private void renewAfter(LeaseRenewal.Renewed renewed) {
    if (renewed.listing().finished().isEmpty()) {
      renew();
      return;
    }
    listedEnds = renewed.listing().finished().getLast().number();
    if (listedEnds <= acknowledged) {
      renew();
      return;
    }
    waitsForRecording = true;
    long expected = listedEnds;
    loop.delay(
        RECORDING_MILLISECONDS,
        () -> {
          if (waitsForRecording && listedEnds == expected) {
            renew();
          }
        });
  }

  private void retry() {
    long delay = retryMilliseconds;
    retryMilliseconds = Math.min(LONGEST_RETRY_MILLISECONDS, 2 * retryMilliseconds);
    loop.delay(delay, this::renew);
  }

  /** Lets the worker forget ends from the next renewal on. */
  void acknowledge(long number) {
    acknowledged = Math.max(acknowledged, number);
    if (waitsForRecording && acknowledged >= listedEnds) {
      renew();
    }
  }

  void startTask(SchedulerCommand.StartTask start) {
    long now = clock.steady();
    if (!workerClock.isKnown()) {
      scheduler.onStartAnswered(start, StartOutcome.NOT_RUN, now, clock.wallClockMilliseconds());
      leadership.changed();
      return;
    }
    scheduler.onLeaseSent(worker.key(), now);
    client
        .start(worker, start, deadline(now), leadership.epoch(), ORDER_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> startAnswered(start, outcome));
  }

  private void startAnswered(SchedulerCommand.StartTask start, StartOutcome outcome) {
    if (outcome == StartOutcome.FENCED) {
      leadership.fenced("worker " + worker.key());
      return;
    }
    scheduler.onStartAnswered(start, outcome, clock.steady(), clock.wallClockMilliseconds());
    if (outcome != StartOutcome.STARTED) {
      leadership.changed();
    }
  }

  void stopTask(SchedulerCommand.StopTask stop) {
    client
        .stop(worker, stop.task(), stop.attempt(), leadership.epoch(), ORDER_TIMEOUT_MILLISECONDS)
        .thenAccept(
            outcome -> {
              if (outcome == TaskStop.FENCED) {
                leadership.fenced("worker " + worker.key());
                return;
              }
              scheduler.onStopAnswered(stop, outcome == TaskStop.STOPPED, clock.steady());
            });
  }

  void paceTask(SchedulerCommand.PaceTask pace) {
    client
        .pace(worker, pace, leadership.epoch(), ORDER_TIMEOUT_MILLISECONDS)
        .thenAccept(done -> scheduler.onPaceAnswered(pace, done, clock.steady()));
  }
}
