package org.flamingochute.load;

import java.util.concurrent.atomic.AtomicLong;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.schema.CallKind;
import org.flamingochute.schema.CallRecord;
import org.flamingochute.schema.CallerReport;
import org.flamingochute.schema.Outcome;

/** Sends requests as fast as a number of concurrent callers can, for a set time. */
public final class ThroughputRun {

  private static final long CHECK_MILLISECONDS = 20;
  private static final int NANOSECONDS_IN_MICROSECOND = 1000;

  private final Call template;
  private final Balancer balancer;
  private final CallSender sender;
  private final Timers timers;
  private final CallRecorder recorder;
  private final AtomicLong numbers = new AtomicLong();
  private volatile long end;

  /**
   * Creates a run.
   *
   * @param template call that is repeated, each time with a tag of its own
   */
  public ThroughputRun(
      Call template, Balancer balancer, CallSender sender, Timers timers, CallRecorder recorder) {
    this.template = template;
    this.balancer = balancer;
    this.sender = sender;
    this.timers = timers;
    this.recorder = recorder;
  }

  /** Runs to the end and returns what callers saw. */
  public CallerReport run(int concurrency, long durationMilliseconds) throws InterruptedException {
    long start = timers.monotonicMilliseconds();
    end = start + durationMilliseconds;
    for (int i = 0; i < concurrency; i++) {
      sendNext();
    }
    long limit = end + template.timeoutMilliseconds();
    while (timers.monotonicMilliseconds() < end
        || (recorder.pendingCalls() > 0 && timers.monotonicMilliseconds() < limit)) {
      Thread.sleep(CHECK_MILLISECONDS);
    }
    return recorder.report(0, durationMilliseconds);
  }

  private void sendNext() {
    if (timers.monotonicMilliseconds() >= end) {
      return;
    }
    Call call =
        new Call(
            template.tag() + numbers.incrementAndGet(),
            CallKind.CALL_INTERACTIVE,
            template.service(),
            template.team(),
            template.key(),
            template.answerBytes(),
            template.timeoutMilliseconds());
    NumericAddress entry = balancer.next();
    recorder.callStarted();
    long started = System.nanoTime();
    sender
        .send(entry, call, call.timeoutMilliseconds())
        .thenAccept(
            outcome -> {
              record(call, outcome, System.nanoTime() - started);
              sendNext();
            });
  }

  private void record(Call call, TryOutcome outcome, long nanoseconds) {
    CallRecord.Builder record =
        CallRecord.newBuilder()
            .setTag(call.tag())
            .setKind(call.kind())
            .setTries(1)
            .setLatencyMicroseconds(nanoseconds / NANOSECONDS_IN_MICROSECOND);
    switch (outcome) {
      case TryOutcome.Answered answered ->
          record.setOutcome(Outcome.OUTCOME_ANSWERED).setCrossed(!answered.whole());
      case TryOutcome.NotRun notRun -> record.setOutcome(Outcome.OUTCOME_NOT_RUN);
      case TryOutcome.NoConnection none -> record.setOutcome(Outcome.OUTCOME_NOT_RUN);
      case TryOutcome.Unknown unknown -> record.setOutcome(Outcome.OUTCOME_UNKNOWN);
    }
    recorder.callEnded(record.build());
  }
}
