package cases;

import java.util.HashSet;
import java.util.Set;

/**
 * Another writer stores an entry of a service that no configuration names under a runner's id. The
 * runner lives on, runs its tasks, and writes its own entry again at its next heartbeat.
 */
final class ForeignEntry implements Cases.Case {
  static final int RUNNERS = 4;
  private static final long WATCHED_MILLISECONDS = 8_000;
  private static final String JOB =
      "{\"spec\":\"work_ms=5000 cpu=2000\",\"job_steps\":[{\"count\":4,\"cpu\":2000,"
          + "\"mem_mb\":1000,\"estimate_ms\":5000}]}";
  private static final String ENTRY =
      "{\"service\":\"other-service\",\"address\":\"%s\",\"zone\":\"zone-a\","
          + "\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,"
          + "\"seq_no\":1,\"born\":%d,\"capacity\":{\"cpu\":1000,\"mem_mb\":1000,"
          + "\"gpus\":0},\"labels\":[]}";

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    world.start(3_000, 4);
    Events record = world.record;
    Http.sleep(2_000);
    // A server of the other writer's; it is not listed in this deployment.
    Runner foreign = world.newForeignRunner("other-1");
    String id = world.newId();
    if (world.call(world.nodes.all.getFirst(), "POST", id, JOB, 3_000).status() != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
    Http.sleep(1_000);
    Runner runner =
        world.runners.stream().filter(r -> !r.tasks().isEmpty()).findFirst().orElseThrow();
    if (trouble) {
      String entry = ENTRY.formatted(foreign.address(), System.currentTimeMillis());
      record.add("another writer stores servers/%s %s", runner.id, entry);
      world.store.put("keyed.servers", runner.id, entry);
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
