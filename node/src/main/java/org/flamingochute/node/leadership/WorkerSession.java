package org.flamingochute.node.leadership;

import io.activej.eventloop.Eventloop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.http.ConnectionId;
import org.flamingochute.platform.wire.LeaseRenewal;
import org.flamingochute.platform.wire.LeaseRenewalOutcome;
import org.flamingochute.platform.wire.TaskStopOutcome;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.StartOutcome;
import org.flamingochute.scheduling.worker.WorkerReport;

/**
 * A session with one incarnation of a worker: renews its lease with long polls that return when a
 * run ends, and sends commands to it.
 *
 * <p>A call that means something else to another incarnation, since it carries a deadline or the
 * number of a finished run, is sent only on a connection on which this one has responded. Before
 * that, and after a call without a response, the session reads the status by a call that any
 * incarnation may answer.
 *
 * <p>After a status with newly finished runs, the next renewal waits until these are recorded and
 * can be acknowledged; otherwise the worker would list them again. Runs on one event loop.
 */
final class WorkerSession {
  /** Longest time for which the worker delays its response to a renewal while no run ends. */
  private static final long LONG_POLL_MILLISECONDS = 900;

  private static final long RENEWAL_TIMEOUT_MARGIN_MILLISECONDS = 700;
  private static final long COMMAND_TIMEOUT_MILLISECONDS = 900;
  private static final long OPENING_TIMEOUT_MILLISECONDS = 500;
  private static final long MINIMUM_RETRY_DELAY_MILLISECONDS = 50;
  private static final long MAXIMUM_RETRY_DELAY_MILLISECONDS = 400;

  /**
   * Most connections that one start is offered to until one of them can carry it. They are more
   * than the idle ones, all of which may have been closed meanwhile.
   */
  private static final int MAXIMUM_START_CONNECTIONS =
      IncarnationConnections.MAXIMUM_CONNECTIONS + 2;

  /**
   * Longest wait for finished runs to be recorded before the lease is renewed without acknowledging
   * them.
   */
  private static final long RECORDING_TIMEOUT_MILLISECONDS = 200;

  private final Eventloop loop;
  private final NodeClock clock;
  private final WorkerClient client;
  private final LeadershipContext leadership;
  private final Scheduler scheduler;
  private final WorkerClockEstimate workerClock = new WorkerClockEstimate();
  private final FinishedRunCursor finishedRuns = new FinishedRunCursor();
  private WorkerReport worker;
  private final IncarnationConnections startConnections;

  /** Connection of the newest status, unless a renewal failed since. */
  private Optional<ConnectionId> statusConnection = Optional.empty();

  private long retryDelayMilliseconds = MINIMUM_RETRY_DELAY_MILLISECONDS;
  private boolean stopped;
  private boolean waitingForRecording;

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
    this.startConnections =
        new IncarnationConnections(
            this::openStartConnection, (delay, action) -> loop.delay(delay, action));
  }

  void start() {
    renew();
  }

  void stop() {
    stopped = true;
  }

  /** Applies a newer report of the same incarnation. */
  void update(WorkerReport report) {
    worker = report;
  }

  private void renew() {
    if (stopped) {
      return;
    }
    waitingForRecording = false;
    if (!leadership.canRenewLeases()) {
      loop.delay(MAXIMUM_RETRY_DELAY_MILLISECONDS, this::renew);
      return;
    }
    if (statusConnection.isPresent()) {
      renewOn(statusConnection.get());
    } else {
      readStatus();
    }
  }

  private void readStatus() {
    long sentAt = clock.steadyMilliseconds();
    client
        .readStatus(worker, leadership.epoch(), RENEWAL_TIMEOUT_MARGIN_MILLISECONDS)
        .thenAccept(result -> onRenewalResult(result, sentAt, FinishedRunCursor.NONE));
  }

  private void renewOn(ConnectionId connection) {
    long sentAt = clock.steadyMilliseconds();
    // Extending the lease of a worker that does not respond would delay the restart of its tasks on
    // other workers.
    boolean extending = workerClock.isRecent(sentAt) && !scheduler.isUnreachable(worker.key());
    long deadline = extending ? leaseDeadline(sentAt) : 0;
    long acknowledgement = finishedRuns.nextAcknowledgement();
    boolean mayWait =
        extending
            && !finishedRuns.hasUnrecorded()
            && !finishedRuns.hasUnacknowledgedBeyond(acknowledgement);
    long longPollMilliseconds = mayWait ? LONG_POLL_MILLISECONDS : 0;
    if (extending) {
      scheduler.onLeaseSent(worker.key(), sentAt);
    }
    client
        .renew(
            worker,
            connection,
            new LeaseRenewal(deadline, leadership.epoch(), acknowledgement),
            longPollMilliseconds,
            longPollMilliseconds + RENEWAL_TIMEOUT_MARGIN_MILLISECONDS)
        .thenAccept(result -> onRenewalResult(result, sentAt, acknowledgement));
  }

  private long leaseDeadline(long now) {
    return workerClock.estimateAt(now) + leadership.leaseMilliseconds();
  }

  private void onRenewalResult(LeaseRenewalOutcome result, long sentAt, long acknowledgement) {
    if (stopped) {
      return;
    }
    switch (result) {
      case LeaseRenewalOutcome.Renewed renewed when !renewed.status().isOf(worker.key()) -> {
        // Neither the clock nor the numbers of finished runs belong to this session's incarnation.
        stopped = true;
        applyStatus(renewed, sentAt);
      }
      case LeaseRenewalOutcome.Renewed renewed -> {
        retryDelayMilliseconds = MINIMUM_RETRY_DELAY_MILLISECONDS;
        statusConnection = Optional.of(renewed.connection());
        workerClock.observe(renewed.status().clockMilliseconds(), clock.steadyMilliseconds());
        finishedRuns.onRenewed(acknowledgement, renewed.status().finished());
        applyStatus(renewed, sentAt);
        continueAfter(renewed);
      }
      case LeaseRenewalOutcome.NotSent notSent -> {
        forgetStatus();
        // A worker that closes each connection after a response would be called without a pause.
        loop.delay(MINIMUM_RETRY_DELAY_MILLISECONDS, this::renew);
      }
      case LeaseRenewalOutcome.Fenced fenced -> leadership.onFenced("worker " + worker.key());
      case LeaseRenewalOutcome.Gone gone -> {
        scheduler.onRenewalFailed(worker.key(), true, "gone");
        leadership.onChanged();
        retry();
      }
      case LeaseRenewalOutcome.Failed failed -> {
        scheduler.onRenewalFailed(worker.key(), false, failed.detail());
        leadership.onChanged();
        retry();
      }
    }
  }

  private void applyStatus(LeaseRenewalOutcome.Renewed renewed, long sentAt) {
    scheduler.onLeaseRenewed(
        worker.key(),
        renewed.status(),
        sentAt,
        clock.steadyMilliseconds(),
        clock.wallClockMilliseconds());
    leadership.onChanged();
  }

  private void continueAfter(LeaseRenewalOutcome.Renewed renewed) {
    if (renewed.status().finished().isEmpty() || !finishedRuns.hasUnrecorded()) {
      renew();
      return;
    }
    waitingForRecording = true;
    long expectedNumber = finishedRuns.lastListed();
    loop.delay(
        RECORDING_TIMEOUT_MILLISECONDS,
        () -> {
          if (waitingForRecording && finishedRuns.lastListed() == expectedNumber) {
            renew();
          }
        });
  }

  /** Makes the next renewal read the status first, as the worker may have started again. */
  private void forgetStatus() {
    statusConnection = Optional.empty();
    finishedRuns.onRenewalFailed();
  }

  private void retry() {
    forgetStatus();
    long delay = retryDelayMilliseconds;
    retryDelayMilliseconds = Math.min(MAXIMUM_RETRY_DELAY_MILLISECONDS, 2 * retryDelayMilliseconds);
    loop.delay(delay, this::renew);
  }

  /** Acknowledges finished runs up to the given number with the next renewal. */
  void acknowledge(long number) {
    finishedRuns.onRecorded(number);
    if (waitingForRecording && !finishedRuns.hasUnrecorded()) {
      renew();
    }
  }

  void startTask(SchedulerCommand.StartTask start) {
    startTask(start, MAXIMUM_START_CONNECTIONS);
  }

  private void startTask(SchedulerCommand.StartTask start, int connectionsLeft) {
    Optional<StartOutcome> refusal = refusalOfStart();
    if (refusal.isPresent()) {
      rejectUnsent(start, refusal.get());
      return;
    }
    startConnections.acquire(
        connection -> {
          if (connection.isEmpty()) {
            rejectUnsent(start, StartOutcome.NOT_RUN);
          } else {
            startOn(connection.get(), start, connectionsLeft - 1);
          }
        });
  }

  /** Returns why no start may be sent now, if so. */
  private Optional<StartOutcome> refusalOfStart() {
    if (stopped) {
      return Optional.of(StartOutcome.EXPIRED);
    }
    if (!workerClock.isRecent(clock.steadyMilliseconds())) {
      return Optional.of(StartOutcome.NOT_RUN);
    }
    // Without permission for starts, a successor may have given the run up.
    return leadership.canStartRuns() ? Optional.empty() : Optional.of(StartOutcome.EXPIRED);
  }

  private void startOn(
      ConnectionId connection, SchedulerCommand.StartTask start, int connectionsLeft) {
    Optional<StartOutcome> refusal = refusalOfStart();
    if (refusal.isPresent()) {
      rejectUnsent(start, refusal.get());
      startConnections.release(connection);
      return;
    }
    // The run may have been given up while the start waited for the connection.
    if (!leadership.beginStart(start)) {
      startConnections.release(connection);
      return;
    }
    long now = clock.steadyMilliseconds();
    scheduler.onStartSent(worker.key(), now);
    client
        .start(
            worker,
            connection,
            start,
            leaseDeadline(now),
            workerClock.earliestAt(now),
            leadership.epoch(),
            COMMAND_TIMEOUT_MILLISECONDS)
        .thenAccept(
            outcome -> {
              if (outcome.isPresent()) {
                onStartEnded(connection, start, outcome.get());
              } else {
                onStartNotSent(start, connectionsLeft);
              }
            });
  }

  private void onStartEnded(
      ConnectionId connection, SchedulerCommand.StartTask start, StartOutcome outcome) {
    onStartAnswered(start, outcome);
    if (outcome == StartOutcome.UNKNOWN) {
      startConnections.discard();
    } else {
      startConnections.release(connection);
    }
  }

  private void onStartNotSent(SchedulerCommand.StartTask start, int connectionsLeft) {
    scheduler.onStartNotSent(start);
    startConnections.discard();
    if (connectionsLeft > 0) {
      startTask(start, connectionsLeft);
    } else {
      rejectUnsent(start, StartOutcome.NOT_RUN);
    }
  }

  /** Gives up a start that was not sent, unless the run was given up before. */
  private void rejectUnsent(SchedulerCommand.StartTask start, StartOutcome outcome) {
    if (leadership.beginStart(start)) {
      onStartAnswered(start, outcome);
    }
  }

  /** Reads the status; the result is the connection on which this incarnation has responded. */
  private CompletableFuture<Optional<ConnectionId>> openStartConnection() {
    return client
        .readStatus(worker, leadership.epoch(), OPENING_TIMEOUT_MILLISECONDS)
        .thenApply(this::connectionOf);
  }

  private Optional<ConnectionId> connectionOf(LeaseRenewalOutcome result) {
    return switch (result) {
      case LeaseRenewalOutcome.Renewed renewed when renewed.status().isOf(worker.key()) -> {
        // A deadline on this connection must be on the clock of the process at its other end.
        workerClock.observe(renewed.status().clockMilliseconds(), clock.steadyMilliseconds());
        yield Optional.of(renewed.connection());
      }
      case LeaseRenewalOutcome.Fenced fenced -> {
        leadership.onFenced("worker " + worker.key());
        yield Optional.empty();
      }
      // The next renewal finds out about another incarnation or another worker.
      case LeaseRenewalOutcome.Renewed renewed -> Optional.empty();
      case LeaseRenewalOutcome.Gone gone -> Optional.empty();
      case LeaseRenewalOutcome.Failed failed -> Optional.empty();
      case LeaseRenewalOutcome.NotSent notSent -> Optional.empty();
    };
  }

  private void onStartAnswered(SchedulerCommand.StartTask start, StartOutcome outcome) {
    if (outcome == StartOutcome.FENCED) {
      leadership.onFenced("worker " + worker.key());
      return;
    }
    scheduler.onStartAnswered(
        start, outcome, clock.steadyMilliseconds(), clock.wallClockMilliseconds());
    if (outcome != StartOutcome.STARTED) {
      leadership.onChanged();
    }
  }

  void stopTask(SchedulerCommand.StopTask stop) {
    client
        .stop(worker, stop.task(), stop.attempt(), leadership.epoch(), COMMAND_TIMEOUT_MILLISECONDS)
        .thenAccept(
            outcome -> {
              if (outcome == TaskStopOutcome.FENCED) {
                leadership.onFenced("worker " + worker.key());
                return;
              }
              scheduler.onStopAnswered(
                  stop, outcome == TaskStopOutcome.STOPPED, clock.steadyMilliseconds());
            });
  }

  void paceTask(SchedulerCommand.PaceTask pace) {
    client
        .pace(worker, pace, leadership.epoch(), COMMAND_TIMEOUT_MILLISECONDS)
        .thenAccept(
            carriedOut -> scheduler.onPaceAnswered(pace, carriedOut, clock.steadyMilliseconds()));
  }
}
