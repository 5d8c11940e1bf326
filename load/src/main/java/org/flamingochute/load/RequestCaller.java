package org.flamingochute.load;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.schema.CallRecord;
import org.flamingochute.schema.Outcome;

/**
 * Makes calls as a careful client does.
 *
 * <p>A call that found no connection goes to the next entry. A call whose outcome is unknown is
 * repeated at the next entry: an interactive request because it is idempotent, an order because it
 * carries the same idempotency key again. A refusal ends the call. The call as a whole was not run
 * only when no try of it may have run. Example: an unknown first try and a refused second one make
 * the call unknown.
 */
public final class RequestCaller {

  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final Balancer balancer;
  private final CallSender sender;
  private final Timers timers;
  private final CallRecorder recorder;
  private final int mostTries;

  /**
   * Creates a caller.
   *
   * @param mostTries most tries of one call
   */
  public RequestCaller(
      Balancer balancer, CallSender sender, Timers timers, CallRecorder recorder, int mostTries) {
    this.balancer = balancer;
    this.sender = sender;
    this.timers = timers;
    this.recorder = recorder;
    this.mostTries = mostTries;
  }

  /** One call with the tries that it took so far. */
  private static final class Attempted {
    private final Call call;
    private final long startNanoseconds = System.nanoTime();
    private final long startMilliseconds;
    private final long deadline;
    private int tries;
    private boolean mayHaveRun;
    private int status;
    private String detail = "";

    private Attempted(Call call, Timers timers) {
      this.call = call;
      this.startMilliseconds = timers.wallMilliseconds();
      this.deadline = timers.monotonicMilliseconds() + call.timeoutMilliseconds();
    }

    private void lastTry(int status, String detail) {
      this.status = status;
      this.detail = detail;
    }
  }

  /** Makes one call; what comes of it goes to the recorder. */
  public void call(Call call) {
    recorder.callStarted();
    tryOnce(new Attempted(call, timers));
  }

  private void tryOnce(Attempted attempted) {
    long remaining = attempted.deadline - timers.monotonicMilliseconds();
    if (remaining <= 0) {
      endUnanswered(attempted);
      return;
    }
    attempted.tries++;
    NumericAddress entry = balancer.next();
    sender
        .send(entry, attempted.call, remaining)
        .thenAccept(outcome -> tried(attempted, entry, outcome));
  }

  private void tried(Attempted attempted, NumericAddress entry, TryOutcome outcome) {
    switch (outcome) {
      case TryOutcome.Answered answered -> {
        attempted.lastTry(answered.status(), "");
        end(attempted, Outcome.OUTCOME_ANSWERED, !answered.whole());
      }
      case TryOutcome.NotRun notRun -> {
        attempted.lastTry(notRun.status(), "not run");
        endUnanswered(attempted);
      }
      case TryOutcome.NoConnection noConnection -> {
        attempted.lastTry(0, noConnection.detail());
        balancer.pause(entry);
        retry(attempted);
      }
      case TryOutcome.Unknown unknown -> {
        attempted.lastTry(unknown.status(), unknown.detail());
        attempted.mayHaveRun = true;
        retry(attempted);
      }
    }
  }

  private void retry(Attempted attempted) {
    if (attempted.tries >= mostTries) {
      endUnanswered(attempted);
      return;
    }
    timers.schedule(RETRY_DELAY, () -> tryOnce(attempted));
  }

  private void endUnanswered(Attempted attempted) {
    end(attempted, unansweredOutcome(attempted), false);
  }

  private static Outcome unansweredOutcome(Attempted attempted) {
    return attempted.mayHaveRun ? Outcome.OUTCOME_UNKNOWN : Outcome.OUTCOME_NOT_RUN;
  }

  private void end(Attempted attempted, Outcome outcome, boolean crossed) {
    long nanoseconds = System.nanoTime() - attempted.startNanoseconds;
    Call call = attempted.call;
    recorder.callEnded(
        CallRecord.newBuilder()
            .setTag(call.tag())
            .setTeam(call.team())
            .setKind(call.kind())
            .setOutcome(outcome)
            .setCrossed(crossed)
            .setTries(attempted.tries)
            .setStatus(attempted.status)
            .setDetail(attempted.detail)
            .setStartedMilliseconds(attempted.startMilliseconds)
            .setLatencyMicroseconds(TimeUnit.NANOSECONDS.toMicros(nanoseconds))
            .build());
  }
}
