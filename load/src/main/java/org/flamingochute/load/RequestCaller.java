package org.flamingochute.load;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.schema.CallRecord;
import org.flamingochute.schema.Outcome;

/**
 * Makes calls and retries them where this is safe.
 *
 * <p>If no connection is established, the entry is paused and the call is retried at the next one.
 * If the outcome is unknown, the call is retried as well: an interactive request because it is
 * idempotent, an order because it is sent with the same idempotency key. A refusal, the maximum
 * number of attempts or the deadline ends the call without a response. Its outcome is not-run only
 * if none of its attempts may have run. Example: an unknown first attempt and a refused second one
 * result in an unknown outcome.
 */
public final class RequestCaller {

  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final Balancer balancer;
  private final CallSender sender;
  private final Timers timers;
  private final CallRecorder recorder;
  private final int maximumAttempts;

  /**
   * Creates a caller.
   *
   * @param maximumAttempts maximum number of attempts per call
   */
  public RequestCaller(
      Balancer balancer,
      CallSender sender,
      Timers timers,
      CallRecorder recorder,
      int maximumAttempts) {
    this.balancer = balancer;
    this.sender = sender;
    this.timers = timers;
    this.recorder = recorder;
    this.maximumAttempts = maximumAttempts;
  }

  /** A call and the state of its attempts. */
  private static final class CallState {
    private final Call call;
    private final long startNanoseconds = System.nanoTime();
    private final long startMilliseconds;
    private final long deadlineMilliseconds;
    private int attempts;
    private boolean mayHaveRun;
    private int status;
    private String detail = "";

    private CallState(Call call, Timers timers) {
      this.call = call;
      this.startMilliseconds = timers.wallMilliseconds();
      this.deadlineMilliseconds = timers.monotonicMilliseconds() + call.timeoutMilliseconds();
    }

    private void recordAttempt(int status, String detail) {
      this.status = status;
      this.detail = detail;
    }
  }

  /** Starts a call; its outcome is passed to the recorder. */
  public void call(Call call) {
    recorder.recordCallStart();
    sendAttempt(new CallState(call, timers));
  }

  private void sendAttempt(CallState state) {
    long remaining = state.deadlineMilliseconds - timers.monotonicMilliseconds();
    if (remaining <= 0) {
      finishUnanswered(state);
      return;
    }
    state.attempts++;
    NumericAddress entry = balancer.next();
    sender
        .send(entry, state.call, remaining)
        .thenAccept(outcome -> handleOutcome(state, entry, outcome));
  }

  private void handleOutcome(CallState state, NumericAddress entry, AttemptOutcome outcome) {
    switch (outcome) {
      case AttemptOutcome.Answered answered -> {
        state.recordAttempt(answered.status(), "");
        finish(state, Outcome.OUTCOME_ANSWERED, !answered.complete());
      }
      case AttemptOutcome.NotRun notRun -> {
        state.recordAttempt(notRun.status(), "not run");
        finishUnanswered(state);
      }
      case AttemptOutcome.NoConnection noConnection -> {
        state.recordAttempt(0, noConnection.detail());
        balancer.pause(entry);
        retry(state);
      }
      case AttemptOutcome.Unknown unknown -> {
        state.recordAttempt(unknown.status(), unknown.detail());
        state.mayHaveRun = true;
        retry(state);
      }
    }
  }

  private void retry(CallState state) {
    if (state.attempts >= maximumAttempts) {
      finishUnanswered(state);
      return;
    }
    timers.schedule(RETRY_DELAY, () -> sendAttempt(state));
  }

  private void finishUnanswered(CallState state) {
    finish(state, unansweredOutcome(state), false);
  }

  private static Outcome unansweredOutcome(CallState state) {
    return state.mayHaveRun ? Outcome.OUTCOME_UNKNOWN : Outcome.OUTCOME_NOT_RUN;
  }

  private void finish(CallState state, Outcome outcome, boolean crossed) {
    long nanoseconds = System.nanoTime() - state.startNanoseconds;
    Call call = state.call;
    recorder.recordCallEnd(
        CallRecord.newBuilder()
            .setTag(call.tag())
            .setTeam(call.team())
            .setKind(call.kind())
            .setOutcome(outcome)
            .setCrossed(crossed)
            .setTries(state.attempts)
            .setStatus(state.status)
            .setDetail(state.detail)
            .setStartedMilliseconds(state.startMilliseconds)
            .setLatencyMicroseconds(TimeUnit.NANOSECONDS.toMicros(nanoseconds))
            .build());
  }
}
