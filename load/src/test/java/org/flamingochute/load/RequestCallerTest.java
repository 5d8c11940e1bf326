package org.flamingochute.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.schema.CallKind;
import org.flamingochute.schema.CallRecord;
import org.flamingochute.standin.VirtualTimers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests retries and the outcome of a call.
 *
 * <p>Guards against a call that is recorded as not run although an earlier attempt may have run.
 */
class RequestCallerTest {

  private static final int MAXIMUM_ATTEMPTS = 3;

  private final VirtualTimers timers = new VirtualTimers();
  private final CallRecorder recorder = new CallRecorder(true);

  private static AttemptOutcome outcomeOf(String word) {
    return switch (word) {
      case "answered" -> new AttemptOutcome.Answered(200, true);
      case "foreign" -> new AttemptOutcome.Answered(200, false);
      case "refused" -> new AttemptOutcome.NotRun(503);
      case "unreachable" -> new AttemptOutcome.NoConnection("refused");
      default -> new AttemptOutcome.Unknown(0, word);
    };
  }

  @ParameterizedTest(name = "attempts {0} result in {1} after {2} attempts, crossed {3}")
  @CsvSource({
    "answered, OUTCOME_ANSWERED, 1, false",
    "foreign, OUTCOME_ANSWERED, 1, true",
    "refused, OUTCOME_NOT_RUN, 1, false",
    "unreachable answered, OUTCOME_ANSWERED, 2, false",
    "unreachable refused, OUTCOME_NOT_RUN, 2, false",
    "unreachable unreachable unreachable, OUTCOME_NOT_RUN, 3, false",
    "unknown answered, OUTCOME_ANSWERED, 2, false",
    "unknown refused, OUTCOME_UNKNOWN, 2, false",
    "unknown unreachable refused, OUTCOME_UNKNOWN, 3, false",
    "unknown unknown unknown, OUTCOME_UNKNOWN, 3, false",
  })
  void attemptsDetermineOutcome(String attempts, String outcome, int count, boolean crossed) {
    Deque<String> script = new ArrayDeque<>(Arrays.asList(attempts.split(" ")));
    CallSender sender =
        (address, call, timeout) ->
            CompletableFuture.completedFuture(outcomeOf(script.removeFirst()));
    Balancer balancer =
        new Balancer(
            List.of(
                NumericAddress.parse("127.0.0.1:1").get(),
                NumericAddress.parse("127.0.0.1:2").get()),
            timers);
    RequestCaller caller = new RequestCaller(balancer, sender, timers, recorder, MAXIMUM_ATTEMPTS);
    caller.call(new Call("t1", CallKind.CALL_ORDER, "orders", "rosario", "", 10, 5000));
    timers.advance(1000);
    CallRecord record = recorder.createReport(0, 1).getCalls(0);
    assertThat(record.getOutcome().name(), equalTo(outcome));
    assertThat(record.getTries(), equalTo(count));
    assertThat(record.getCrossed(), equalTo(crossed));
    assertThat(recorder.pendingCalls(), equalTo(0L));
  }

  @ParameterizedTest(
      name = "a call whose attempts take {0} ms with a timeout of 150 ms is attempted {1} times")
  @CsvSource({"0, 2", "60, 1", "200, 1"})
  void deadlineEndsAttempts(long attemptMilliseconds, int expectedAttempts) {
    CallSender sender =
        (address, call, timeout) -> {
          CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
          timers.schedule(
              java.time.Duration.ofMillis(attemptMilliseconds),
              () -> outcome.complete(outcomeOf("unknown")));
          return outcome;
        };
    Balancer balancer = new Balancer(List.of(NumericAddress.parse("127.0.0.1:1").get()), timers);
    RequestCaller caller = new RequestCaller(balancer, sender, timers, recorder, MAXIMUM_ATTEMPTS);
    caller.call(new Call("t1", CallKind.CALL_INTERACTIVE, "quotes", "rosario", "", 10, 150));
    timers.advance(1000);
    assertThat(recorder.createReport(0, 1).getCalls(0).getTries(), equalTo(expectedAttempts));
    assertThat(recorder.createReport(0, 1).getUnknown(), equalTo(1L));
  }
}
