package org.flamingochute.testsuite.soak;

import java.util.HashMap;
import java.util.Map;

/**
 * The payload of a job of the soak, which says how its tasks behave.
 *
 * @param workMilliseconds duration of a task
 * @param millicores processors of a task, in thousandths of a core
 * @param failures number of first attempts that fail
 * @param checkpoints whether the task saves its progress
 * @param slowness how many times longer some of the runs take; 1 if none does
 * @param job id of the job, so that no two jobs have the same payload
 */
record SoakSpec(
    long workMilliseconds,
    long millicores,
    int failures,
    boolean checkpoints,
    int slowness,
    String job) {
  /** One of this many runs of a job is slow, and never two successive runs of a task. */
  private static final int RUNS_PER_SLOW_RUN = 4;

  static SoakSpec parse(String text) {
    Map<String, String> values = new HashMap<>();
    for (String part : text.trim().split("\\s+")) {
      String[] pair = part.split("=", 2);
      if (pair.length == 2) {
        values.put(pair[0], pair[1]);
      }
    }
    return new SoakSpec(
        Long.parseLong(values.getOrDefault("work_ms", "0")),
        Long.parseLong(values.getOrDefault("cpu", "0")),
        Integer.parseInt(values.getOrDefault("failures", "0")),
        values.getOrDefault("checkpoints", "0").equals("1"),
        Integer.parseInt(values.getOrDefault("slowness", "1")),
        values.getOrDefault("job", ""));
  }

  String text() {
    return "work_ms=%d cpu=%d failures=%d checkpoints=%d slowness=%d job=%s"
        .formatted(workMilliseconds, millicores, failures, checkpoints ? 1 : 0, slowness, job);
  }

  /** Returns how many times longer than its work a run takes. */
  int slownessOf(String task, int attempt) {
    return Math.floorMod(task.hashCode() + attempt, RUNS_PER_SLOW_RUN) == 0 ? slowness : 1;
  }
}
