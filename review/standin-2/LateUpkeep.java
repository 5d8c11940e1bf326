package cases;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A wave with one machine down at a time. The leader's first order gets no answer and is carried
 * out 5 s later; the leader is killed meanwhile, and its successor goes on with another machine.
 */
final class LateUpkeep implements Cases.Case {
  private static final long LATE_MILLISECONDS = 5_000;
  private static final long WATCHED_MILLISECONDS = 30_000;
  private static final int JOBS = 4;
  private static final long JOB_INTERVAL_MILLISECONDS = 700;
  private static final String WAVE =
      "{\"wave\":1,\"machines\":[\"machine-100\",\"machine-101\",\"machine-102\"],"
          + "\"duration_s\":40,\"max_count\":1}";
  private static final String JOB =
      "{\"spec\":\"work_ms=9000 cpu=1500\",\"job_steps\":[{\"count\":1,\"cpu\":1500,"
          + "\"mem_mb\":1000,\"estimate_ms\":9000,\"affinity\":\"rack-%s\"}]}";

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    world.start(3_000, 4);
    Events record = world.record;
    Nodes.Node leader = world.nodes.leader();
    Nodes.Node other = world.nodes.all.stream().filter(n -> n != leader).findFirst().orElseThrow();
    CompletableFuture<String> ordered = new CompletableFuture<>();
    world.machines.setFault(
        machine -> ordered.complete(machine) && trouble ? LATE_MILLISECONDS : 0);
    Http.sleep(1_000);
    world.store.put("keyed.op", "wave/1", WAVE);
    record.add("operator wave/1 %s", WAVE);
    String first = ordered.get(20, TimeUnit.SECONDS);
    if (trouble) {
      Http.sleep(100);
      world.nodes.kill(leader);
    }
    // Jobs whose data is in the rack of the machine that was ordered down.
    for (int job = 0; job < JOBS; job++) {
      Http.sleep(JOB_INTERVAL_MILLISECONDS);
      World.Answer answer =
          world.call(other, "POST", world.newId(), JOB.formatted(first), 3_000);
      if (answer.status() == 0) {
        throw new IllegalStateException("the node has not answered: " + answer.body());
      }
    }
    long end = record.now() + WATCHED_MILLISECONDS;
    while (record.now() < end) {
      Http.sleep(100);
    }
    int most = world.machines.mostDown();
    record.add("most_down=%d limit=1 maintained=%d", most, world.machines.maintained(1));
    return most <= 1;
  }
}
