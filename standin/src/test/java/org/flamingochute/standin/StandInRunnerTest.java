package org.flamingochute.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.flamingochute.platform.EndpointOutcome;
import org.flamingochute.platform.EndpointRequest;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.schema.EndpointFault;
import org.flamingochute.schema.EndpointFaultKind;
import org.flamingochute.schema.FaultSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests slots, queue, deadlines, faults and power of the stand-in runner. */
class StandInRunnerTest {

  private static final long RUN_MILLISECONDS = 100;

  private final VirtualTimers timers = new VirtualTimers();
  private final EndpointRecorder recorder = new EndpointRecorder();
  private final EndpointFaults faults = new EndpointFaults();

  private StandInRunner createRunner(int slots, int queued) {
    return new StandInRunner(
        "r-1", slots, queued, timers, new RunTimeSampler(RUN_MILLISECONDS, 1), recorder, faults);
  }

  private static EndpointRequest createRequest(String tag, long timeout) {
    return new EndpointRequest(
        "id-" + tag,
        "POST",
        "/",
        List.of(
            new HeaderField("x-request-tag", tag),
            new HeaderField("X-Team-Tag", "rosario"),
            new HeaderField("X-Run-Milliseconds", Long.toString(RUN_MILLISECONDS))),
        new byte[0],
        timeout,
        false);
  }

  @ParameterizedTest(name = "{0} slots, queue of {1}, timeout {2}: {3}")
  @CsvSource({
    "1, 1, 1000, Complete Complete Refused Refused",
    "2, 1, 1000, Complete Complete Complete Refused",
    "4, 0, 1000, Complete Complete Complete Complete",
    "1, 3, 101, Complete ConnectionClosed Refused Refused",
    "1, 3, 50, ConnectionClosed Refused Refused Refused",
    "1, 1, 0, Refused Refused Refused Refused",
  })
  void requestsTakeSlotsThenQueuePlaces(int slots, int queued, long timeout, String replies) {
    StandInRunner runner = createRunner(slots, queued);
    List<CompletableFuture<RunnerReply>> futures = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      futures.add(runner.submit(createRequest("t" + i, timeout)));
    }
    timers.advance(10 * RUN_MILLISECONDS);
    String seen =
        futures.stream()
            .map(future -> future.join().getClass().getSimpleName())
            .collect(Collectors.joining(" "));
    assertThat(seen, equalTo(replies));
    assertThat(recorder.concurrency().runningCount("rosario"), equalTo(0));
  }

  @Test
  void reportCountsEachTag() {
    StandInRunner runner = createRunner(1, 4);
    runner.submit(createRequest("t1", 1000));
    runner.submit(createRequest("t1", 1000));
    runner.submit(createRequest("t2", 1000));
    timers.advance(2 * RUN_MILLISECONDS);
    String counts =
        recorder.createReport(true).getRequestsList().stream()
            .map(count -> count.getTag() + ":" + count.getBegun() + "/" + count.getEnded())
            .sorted()
            .collect(Collectors.joining(" "));
    assertThat(counts, equalTo("t1:2/2 t2:1/0"));
  }

  static Stream<Arguments> faultReplies() {
    return Stream.of(
        Arguments.of(EndpointFaultKind.RUNNER_SHORT, RunnerReply.Truncated.class),
        Arguments.of(EndpointFaultKind.RUNNER_TWICE, RunnerReply.Duplicated.class),
        Arguments.of(EndpointFaultKind.RUNNER_CROSSED, RunnerReply.Complete.class));
  }

  @ParameterizedTest(name = "{0} results in {1}, once")
  @MethodSource("faultReplies")
  void faultAppliesConfiguredNumberOfTimes(
      EndpointFaultKind kind, Class<? extends RunnerReply> reply) {
    faults.replaceFaults(
        FaultSettings.newBuilder()
            .addEndpoints(EndpointFault.newBuilder().setKind(kind).setCount(1))
            .build());
    StandInRunner runner = createRunner(2, 0);
    CompletableFuture<RunnerReply> first = runner.submit(createRequest("t1", 1000));
    final CompletableFuture<RunnerReply> second = runner.submit(createRequest("t2", 1000));
    timers.advance(RUN_MILLISECONDS);
    assertThat(first.join(), instanceOf(reply));
    EndpointOutcome.Answered response = ((RunnerReply.Complete) second.join()).response();
    assertThat(TaggedBody.isCompleteBodyFor("t2", response.body()), equalTo(true));
  }

  @ParameterizedTest(name = "through the client, {0} is {1}")
  @CsvSource({
    "RUNNER_SHORT, Unknown",
    "RUNNER_TWICE, Answered",
    "RUNNER_CROSSED, Unknown",
    "RUNNER_LATE, Answered",
    "ENDPOINT_FAULT_UNSPECIFIED, Answered",
  })
  void clientDetectsFaultyResponses(EndpointFaultKind kind, String outcome) {
    faults.replaceFaults(
        FaultSettings.newBuilder()
            .addEndpoints(EndpointFault.newBuilder().setKind(kind).setFaultMilliseconds(5))
            .build());
    InMemoryEndpointClient client = new InMemoryEndpointClient();
    client.register("10.0.0.1:80", createRunner(1, 0));
    CompletableFuture<EndpointOutcome> result =
        client.send("10.0.0.1:80", createRequest("t1", 1000));
    timers.advance(2 * RUN_MILLISECONDS);
    assertThat(result.join().getClass().getSimpleName(), equalTo(outcome));
  }

  @Test
  void poweringDownInterruptsWorkAndRefusesRequests() {
    StandInRunner runner = createRunner(1, 1);
    CompletableFuture<RunnerReply> running = runner.submit(createRequest("t1", 1000));
    final CompletableFuture<RunnerReply> queued = runner.submit(createRequest("t2", 1000));
    runner.setPower(false);
    assertThat(running.join(), instanceOf(RunnerReply.ConnectionClosed.class));
    assertThat(queued.join(), instanceOf(RunnerReply.ConnectionClosed.class));
    assertThat(
        runner.submit(createRequest("t3", 1000)).join(), instanceOf(RunnerReply.Refused.class));
    assertThat(recorder.createReport(false).getCutByPowerDown(), equalTo(2L));
    timers.advance(RUN_MILLISECONDS);
    assertThat(recorder.concurrency().runningCount("rosario"), equalTo(0));
  }
}
