package cases;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A runner crashes while a start is on its way to it, and starts again under its id. The start
 * reaches its next life, when the task has been placed on another runner.
 */
final class HeldStart implements Cases.Case {
  static final int RUNNERS = 7;
  private static final long CRASH_AFTER_MILLISECONDS = 200;
  private static final long DARK_MILLISECONDS = 50;
  private static final long LATE_MILLISECONDS = 2_000;
  private static final long WATCHED_MILLISECONDS = 9_000;
  private static final String JOB =
      "{\"spec\":\"work_ms=5000 cpu=1000\",\"job_steps\":[{\"count\":1,\"cpu\":1000,"
          + "\"mem_mb\":1000,\"estimate_ms\":5000}]}";
  // Makes another runner the fullest one, on which the next task is placed.
  private static final String OTHER_JOB =
      "{\"spec\":\"work_ms=9000 cpu=2000\",\"job_steps\":[{\"count\":1,\"cpu\":2000,"
          + "\"mem_mb\":1000,\"estimate_ms\":9000,\"affinity\":\"%s\"}]}";

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    world.start(3_000, 4);
    Events record = world.record;
    Http.sleep(2_000);
    String id = world.newId();
    CompletableFuture<Runner.HeldStart> held = new CompletableFuture<>();
    if (trouble) {
      world.runners.forEach(runner -> runner.holdStart(id, held));
    }
    Nodes.Node node = world.nodes.all.getFirst();
    world.call(node, "POST", id, JOB, 3_000);
    Runner first =
        trouble ? held.get(5, TimeUnit.SECONDS).runner() : world.runners.getFirst();
    Runner other = world.runners.stream().filter(r -> r != first).findFirst().orElseThrow();
    world.call(node, "POST", world.newId(), OTHER_JOB.formatted(other.rack()), 3_000);
    if (trouble) {
      Http.sleep(CRASH_AFTER_MILLISECONDS);
      first.crash();
      Http.sleep(DARK_MILLISECONDS);
      Runner next = world.startAgain(first);
      World.inBackground(
          () -> {
            Http.sleep(LATE_MILLISECONDS);
            String refusal = next.executeLate(held.join());
            record.add("the start that was held back reaches %s, refusal=%s", next.id, refusal);
          });
    }
    Set<String> twice = new HashSet<>();
    long end = record.now() + WATCHED_MILLISECONDS;
    while (record.now() < end) {
      Set<String> seen = new HashSet<>();
      for (Runner each : world.runners) {
        for (String task : each.tasks()) {
          if (!seen.add(task) && twice.add(task)) {
            record.add("two runs at once: task=%s", task);
          }
        }
      }
      Http.sleep(5);
    }
    record.add("tasks_with_two_runs_at_once=%s", twice);
    return twice.isEmpty();
  }
}
