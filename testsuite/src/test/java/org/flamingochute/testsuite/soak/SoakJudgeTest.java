package org.flamingochute.testsuite.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a judge that accepts runs which the rules forbid, or forbids allowed ones. */
final class SoakJudgeTest {
  private static final String JOB = "00000000000000a1";
  private static final SoakSpec SPEC = new SoakSpec(500, 100, 0, false, 1, JOB);
  private static final SoakOperators.Evacuation EVACUATION =
      new SoakOperators.Evacuation("dc-0", Set.of("worker-0"), 10_000, 20_000);

  private final List<RunEvent> events = new ArrayList<>();

  private RunEvent event(
      long at, String worker, RunEvent.Kind kind, int attempt, long sentAt, String detail) {
    String task = kind == RunEvent.Kind.LEASE ? "" : JOB + ".0.0.0";
    return new RunEvent(
        at, worker, 1, kind, task, attempt, false, sentAt, detail, "", Long.MAX_VALUE);
  }

  private void addRun(int attempt, long start, long end, long acknowledgement) {
    String worker = "worker-" + attempt;
    String how = acknowledgement > 0 ? "done" : "stopped";
    events.add(event(start, worker, RunEvent.Kind.START, attempt, start, SPEC.text()));
    events.add(event(end, worker, RunEvent.Kind.END, attempt, 0, how));
    if (acknowledgement > 0) {
      events.add(event(acknowledgement, worker, RunEvent.Kind.ACKNOWLEDGED, attempt, 0, "done"));
    }
  }

  private List<String> brokenRules(Set<Integer> stepsWithCopies, boolean copies) {
    JobStory story = new JobStory(JOB, "/orders/", SPEC, List.of(1), stepsWithCopies);
    return SoakJudge.judge(
            List.of(story), events, List.of(EVACUATION), copies, OptionalLong.of(90_000))
        .findings()
        .stream()
        .map(Finding::rule)
        .toList();
  }

  /** The first run succeeds at 1,500 ms; its success is acknowledged at 1,800 ms. */
  @ParameterizedTest(name = "second run from {0}, allowed by step {1}, by switch {2}")
  @CsvSource({
    "1200, true, true, 0",
    "1200, false, true, 1",
    "1200, true, false, 1",
    "1700, true, true, 0",
    "1700, false, true, 1",
    "1900, true, true, 1",
    "1900, true, false, 1"
  })
  void secondRunNeedsPermission(long secondStart, boolean step, boolean copies, int expected) {
    addRun(1, 1_000, 1_500, 1_800);
    addRun(2, secondStart, 2_200, 0);
    assertThat(brokenRules(step ? Set.of(0) : Set.of(), copies).size(), is(expected));
  }

  @ParameterizedTest(name = "third run from {0}")
  @CsvSource({"1400, 1", "1600, 0"})
  void threeRunsAtOnceAreForbidden(long thirdStart, int expected) {
    addRun(1, 1_000, 1_500, 0);
    addRun(2, 1_100, 2_000, 0);
    addRun(3, thirdStart, 2_500, 0);
    assertThat(brokenRules(Set.of(0), true).size(), is(expected));
  }

  /** The request stands from 10,000 to 20,000 ms, for worker-0 alone. */
  @ParameterizedTest(name = "sent at {1} to {0}, begins at {2}")
  @CsvSource({
    "worker-0, 14990, 15000, 0",
    "worker-0, 14990, 15001, 1",
    "worker-0, 14900, 15001, 0",
    "worker-0, 15001, 18000, 1",
    "worker-0, 19000, 21000, 1",
    "worker-0, 20000, 20001, 0",
    "worker-1, 16000, 16001, 0"
  })
  void evacuatedDataCentreGetsNoStarts(String worker, long sentAt, long begin, int expected) {
    events.add(event(begin, worker, RunEvent.Kind.START, 1, sentAt, SPEC.text()));
    events.add(event(begin + 500, worker, RunEvent.Kind.END, 1, 0, "stopped"));
    assertThat(brokenRules(Set.of(), true).size(), is(expected));
  }
}
