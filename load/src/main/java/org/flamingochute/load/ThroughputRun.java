package org.flamingochute.load;

import java.util.concurrent.atomic.AtomicLong;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.schema.CallKind;
import org.flamingochute.schema.CallRecord;
import org.flamingochute.schema.CallerReport;
import org.flamingochute.schema.Outcome;

/**
 * Sends requests from concurrent callers for a given time; each caller sends its next request as
 * soon as the previous one has ended (closed loop). Nothing is retried.
 */
public final class ThroughputRun {

  private static final long POLL_MILLISECONDS = 20;
  private static final int NANOSECONDS_PER_MICROSECOND = 1000;

  private final Call template;
  private final Balancer balancer;
  private final CallSender sender;
  private final Timers timers;
  private final CallRecorder recorder;
  private final AtomicLong callNumber = new AtomicLong();
  private volatile long endMilliseconds;

  /**
   * Creates a run.
   *
   * @param template template of the calls; its tag is the prefix of their tags
   */
  public ThroughputRun(
      Call template, Balancer balancer, CallSender sender, Timers timers, CallRecorder recorder) {
    this.template = template;
    this.balancer = balancer;
    this.sender = sender;
    this.timers = timers;
    this.recorder = recorder;
  }

  /**
   * Runs for the given duration, waits for pending requests up to their timeout and returns the
   * report of the callers.
   *
   * @param concurrency number of callers
   */
  public CallerReport run(int concurrency, long durationMilliseconds) throws InterruptedException {
    long start = timers.monotonicMilliseconds();
    endMilliseconds = start + durationMilliseconds;
    for (int i = 0; i < concurrency; i++) {
      sendNext();
    }
    long waitLimitMilliseconds = endMilliseconds + template.timeoutMilliseconds();
    while (timers.monotonicMilliseconds() < endMilliseconds
        || (recorder.pendingCalls() > 0
            && timers.monotonicMilliseconds() < waitLimitMilliseconds)) {
      Thread.sleep(POLL_MILLISECONDS);
    }
    return recorder.createReport(0, durationMilliseconds);
  }

  private void sendNext() {
    if (timers.monotonicMilliseconds() >= endMilliseconds) {
      return;
    }
    Call call =
        new Call(
            template.tag() + callNumber.incrementAndGet(),
            CallKind.CALL_INTERACTIVE,
            template.service(),
            template.team(),
            template.key(),
            template.responseBytes(),
            template.timeoutMilliseconds());
    NumericAddress entry = balancer.next();
    recorder.recordCallStart();
    long started = System.nanoTime();
    sender
        .send(entry, call, call.timeoutMilliseconds())
        .thenAccept(
            outcome -> {
              record(call, outcome, System.nanoTime() - started);
              sendNext();
            });
  }

  private void record(Call call, AttemptOutcome outcome, long nanoseconds) {
    CallRecord.Builder record =
        CallRecord.newBuilder()
            .setTag(call.tag())
            .setKind(call.kind())
            .setTries(1)
            .setLatencyMicroseconds(nanoseconds / NANOSECONDS_PER_MICROSECOND);
    switch (outcome) {
      case AttemptOutcome.Answered answered ->
          record.setOutcome(Outcome.OUTCOME_ANSWERED).setCrossed(!answered.complete());
      case AttemptOutcome.NotRun notRun -> record.setOutcome(Outcome.OUTCOME_NOT_RUN);
      case AttemptOutcome.NoConnection noConnection -> record.setOutcome(Outcome.OUTCOME_NOT_RUN);
      case AttemptOutcome.Unknown unknown -> record.setOutcome(Outcome.OUTCOME_UNKNOWN);
    }
    recorder.recordCallEnd(record.build());
  }
}
