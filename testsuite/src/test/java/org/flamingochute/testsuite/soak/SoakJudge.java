package org.flamingochute.testsuite.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/** Judges a run by what callers and workers have seen. */
final class SoakJudge {
  private static final String DONE = "done";
  private static final long CONTACT_MILLISECONDS = 3_000;
  private static final long CANCEL_MILLISECONDS = 3_000;
  private static final long STOP_MILLISECONDS = 200;
  private static final long EVACUATION_MILLISECONDS = 5_000;

  /** Longest way of a start to its worker that no fault of the soak has delayed. */
  private static final long PASSAGE_MILLISECONDS = 100;

  private final Map<String, JobStory> storiesByJob = new HashMap<>();
  private final Map<String, List<RunEvent>> eventsByJob = new TreeMap<>();
  private final Map<String, List<RunRecord>> runsByTask = new TreeMap<>();
  private final List<Finding> findings = new ArrayList<>();
  private final List<SoakOperators.Evacuation> evacuations;
  private final boolean copies;
  private final OptionalLong healedAt;

  private SoakJudge(
      List<JobStory> stories,
      List<RunEvent> events,
      List<SoakOperators.Evacuation> evacuations,
      boolean copies,
      OptionalLong healedAt) {
    this.evacuations = evacuations;
    this.copies = copies;
    this.healedAt = healedAt;
    stories.forEach(story -> storiesByJob.put(story.job(), story));
    Map<String, List<RunEvent>> byIncarnation = new TreeMap<>();
    for (RunEvent event : events) {
      byIncarnation
          .computeIfAbsent(event.worker() + "@" + event.born(), key -> new ArrayList<>())
          .add(event);
      if (!event.task().isEmpty()) {
        eventsByJob.computeIfAbsent(event.job(), key -> new ArrayList<>()).add(event);
      }
    }
    for (List<RunEvent> ofIncarnation : byIncarnation.values()) {
      for (RunRecord run : RunRecord.ofIncarnation(ofIncarnation)) {
        runsByTask.computeIfAbsent(run.start().task(), key -> new ArrayList<>()).add(run);
      }
    }
    runsByTask.values().forEach(runs -> runs.sort(Comparator.comparingLong(r -> r.start().at())));
  }

  /**
   * Judges a run.
   *
   * @param evacuations requests of the operators
   * @param copies whether the nodes may start copies of tasks whose step allows them
   * @param healedAt time from which no fault is active; empty if bounds are not judged
   */
  static SoakJudge judge(
      List<JobStory> stories,
      List<RunEvent> events,
      List<SoakOperators.Evacuation> evacuations,
      boolean copies,
      OptionalLong healedAt) {
    SoakJudge judge = new SoakJudge(stories, events, evacuations, copies, healedAt);
    judge.runsByTask.forEach(judge::judgeTask);
    stories.forEach(judge::judgeJob);
    return judge;
  }

  List<Finding> findings() {
    return List.copyOf(findings);
  }

  /** Returns the number of tasks that have ended {@code done}. */
  long doneTasks() {
    return runsByTask.values().stream()
        .filter(runs -> runs.stream().anyMatch(run -> run.how().equals(DONE)))
        .count();
  }

  private void report(String rule, String job, String detail) {
    findings.add(new Finding(rule, job, detail));
  }

  private void judgeTask(String task, List<RunRecord> runs) {
    String job = runs.get(0).start().job();
    JobStory story = storiesByJob.get(job);
    if (story == null) {
      report("UNASKED", job, "a task of a job that nobody sent was started");
      return;
    }
    judgeOrders(story, task, runs);
    runs.forEach(run -> judgeEvacuation(job, run));
    if (copies && story.allowsCopies(stepOf(task))) {
      judgeCopies(job, runs);
      return;
    }
    for (int i = 0; i < runs.size(); i++) {
      for (int k = i + 1; k < runs.size(); k++) {
        judgePair(job, runs.get(i), runs.get(k));
      }
    }
  }

  private static int stepOf(String task) {
    return Integer.parseInt(task.split("\\.")[2]);
  }

  /** A task may have two runs at once, of which one may start before a success is acknowledged. */
  private void judgeCopies(String job, List<RunRecord> runs) {
    for (int i = 0; i < runs.size(); i++) {
      RunRecord run = runs.get(i);
      List<RunRecord> present =
          runs.subList(0, i).stream().filter(former -> !former.endsBefore(run)).toList();
      if (present.size() > 1) {
        report("TWICE", job, "three runs at once: " + describe(run) + " beside " + present);
      }
      for (RunRecord former : runs.subList(0, i)) {
        if (former.isAcknowledgedBefore(run)) {
          report(
              "TWICE",
              job,
              "started after an acknowledged success: " + describe(former) + ", " + describe(run));
        }
      }
    }
  }

  /** A start that a fault has delayed on its way is judged by the time at which it was sent. */
  private void judgeEvacuation(String job, RunRecord run) {
    if (healedAt.isEmpty()) {
      return;
    }
    RunEvent start = run.start();
    boolean isDelayed = start.at() - start.sentAt() > PASSAGE_MILLISECONDS;
    long begin = isDelayed ? start.sentAt() : start.at();
    for (SoakOperators.Evacuation evacuation : evacuations) {
      if (evacuation.workers().contains(start.worker())
          && begin > evacuation.acknowledgedAt() + EVACUATION_MILLISECONDS
          && begin < evacuation.deletedAt()) {
        report(
            "EVACUATED",
            job,
            "%s, sent at %d, begins after %s".formatted(describe(run), start.sentAt(), evacuation));
      }
    }
  }

  /** Returns the number of tasks with two runs at once. */
  long copiedTasks() {
    return runsByTask.values().stream()
        .filter(
            runs ->
                runs.stream().anyMatch(a -> runs.stream().anyMatch(b -> a != b && a.overlaps(b))))
        .count();
  }

  private void judgePair(String job, RunRecord first, RunRecord second) {
    if (first.overlaps(second)) {
      report("TWICE", job, "two runs at once: " + describe(first) + " and " + describe(second));
    } else if (first.how().equals(DONE) && first.acknowledged()) {
      report(
          "TWICE",
          job,
          "started after an acknowledged success: " + describe(first) + ", " + describe(second));
    }
  }

  private static String describe(RunRecord run) {
    return "%s run %d on %s@%d%s from %d to %d %s"
        .formatted(
            run.start().task(),
            run.start().attempt(),
            run.start().worker(),
            run.start().born(),
            run.start().late() ? " late" : "",
            run.start().at(),
            run.endAt(),
            run.how());
  }

  private void judgeOrders(JobStory story, String task, List<RunRecord> runs) {
    Set<String> produced = new HashSet<>();
    for (RunEvent event : eventsByJob.get(story.job())) {
      if (event.kind() == RunEvent.Kind.CHECKPOINT && event.task().equals(task)) {
        produced.add(event.detail());
      }
    }
    for (RunRecord run : runs) {
      RunEvent start = run.start();
      if (!start.detail().equals(story.spec().text())) {
        report("UNASKED", story.job(), "started with another payload: " + describe(run));
      }
      if (!start.checkpoint().isEmpty() && !produced.contains(start.checkpoint())) {
        report("UNASKED", story.job(), "started with a foreign checkpoint: " + describe(run));
      }
    }
    if (story.isRefusedEverywhere()) {
      report(
          "REFUSED",
          story.job(),
          "started though all calls were refused: " + describe(runs.get(0)));
    }
    judgeOrderOfSteps(story, task, runs);
    judgeCancel(story, runs);
  }

  private void judgeOrderOfSteps(JobStory story, String task, List<RunRecord> runs) {
    int step = stepOf(task);
    if (step == 0) {
      return;
    }
    for (int i = 0; i < story.stepSizes().get(step - 1); i++) {
      String former = story.job() + ".0." + (step - 1) + "." + i;
      boolean isDone =
          runsByTask.getOrDefault(former, List.of()).stream()
              .anyMatch(run -> run.how().equals(DONE) && run.endsBefore(runs.get(0)));
      if (!isDone) {
        report("ORDER", story.job(), former + " is not done: " + describe(runs.get(0)));
      }
    }
  }

  /** Runs must be gone a bounded time after the acknowledgement, counted without faults nearby. */
  private void judgeCancel(JobStory story, List<RunRecord> runs) {
    OptionalLong acknowledged = story.cancelAcknowledgedAt();
    if (acknowledged.isEmpty() || healedAt.isEmpty()) {
      return;
    }
    long calmAt = Math.max(acknowledged.getAsLong(), healedAt.getAsLong() + CONTACT_MILLISECONDS);
    for (RunRecord run : runs) {
      long from =
          run.start().late() ? Math.max(calmAt, run.start().at() + CONTACT_MILLISECONDS) : calmAt;
      if (run.endAt() > from + CANCEL_MILLISECONDS + STOP_MILLISECONDS) {
        report("UNASKED", story.job(), "runs on after the cancel: " + describe(run));
      }
    }
  }

  private void judgeJob(JobStory story) {
    if (!story.isAccepted()) {
      return;
    }
    String state = story.lastState();
    int doneTasks = 0;
    long mostFailures = 0;
    for (Map.Entry<String, List<RunRecord>> entry : runsByTask.entrySet()) {
      if (!entry.getKey().startsWith(story.job())) {
        continue;
      }
      List<RunRecord> runs = entry.getValue();
      doneTasks += runs.stream().anyMatch(run -> run.how().equals(DONE)) ? 1 : 0;
      mostFailures =
          Math.max(mostFailures, runs.stream().filter(run -> run.how().equals("failed")).count());
    }
    if (state.contains("completed") && doneTasks != story.taskCount()) {
      report("MIXED", story.job(), "completed with " + doneTasks + " tasks done");
    }
    if (story.isCancelSent()) {
      return;
    }
    for (JobStory.Call call : story.callsOf("GET")) {
      if (call.status() == JobStory.GONE
          && healedAt.isPresent()
          && call.sentAt() > healedAt.getAsLong() + CONTACT_MILLISECONDS) {
        report("LOST", story.job(), "an accepted job is unknown: " + call);
        break;
      }
    }
    if (state.contains("failed") && mostFailures < SoakRun.MAXIMUM_ATTEMPTS) {
      report("LOST", story.job(), "failed after " + mostFailures + " failed runs of a task");
    } else if (!story.isEnded()) {
      report("LOST", story.job(), "not ended; last state " + state + ", " + doneTasks + " done");
    }
  }

  /** Returns everything that callers and workers saw of a job. */
  String record(String job) {
    StringBuilder text = new StringBuilder();
    JobStory story = storiesByJob.get(job);
    if (story != null) {
      text.append("  spec ").append(story.spec().text());
      text.append(" steps ").append(story.stepSizes()).append('\n');
      String previousBody = "";
      for (JobStory.Call call : story.calls()) {
        if (!call.method().equals("GET") || !call.body().equals(previousBody)) {
          text.append("  call ").append(call).append('\n');
        }
        previousBody = call.body();
      }
    }
    List<RunEvent> events = new ArrayList<>(eventsByJob.getOrDefault(job, List.of()));
    events.sort(Comparator.comparingLong(RunEvent::at));
    for (RunEvent event : events) {
      if (event.kind() != RunEvent.Kind.CHECKPOINT) {
        text.append("  ").append(event).append('\n');
      }
    }
    return text.toString();
  }
}
