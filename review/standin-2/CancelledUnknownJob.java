package cases;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The store loses the answers of a node's appends of one job, and executes them seconds later. The
 * client gets no decision (504), and cancels the job at another node, which answers 410.
 */
final class CancelledUnknownJob implements Cases.Case {
  private static final long LOST_MILLISECONDS = 3_000;
  private static final long LATE_MILLISECONDS = 5_500;
  private static final long CANCEL_MILLISECONDS = 3_000;
  private static final long STOP_MILLISECONDS = 200;
  private static final long WATCHED_MILLISECONDS = 15_000;
  private static final String SHORT_JOB =
      "{\"spec\":\"work_ms=300 cpu=500\",\"job_steps\":[{\"count\":2,\"cpu\":500,"
          + "\"mem_mb\":100,\"estimate_ms\":300}]}";
  private static final String LASTING_JOB =
      "{\"spec\":\"cpu=1000 lasting=1\",\"job_steps\":[{\"count\":2,\"cpu\":1000,"
          + "\"mem_mb\":1000,\"estimate_ms\":1000,\"long_running\":true}]}";

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    world.start(3_000, 4);
    Events record = world.record;
    Nodes.Node leader = world.nodes.leader();
    List<Nodes.Node> others = new ArrayList<>(world.nodes.all);
    others.remove(leader);
    AtomicBoolean ended = new AtomicBoolean();
    List<Thread> calls = new ArrayList<>();
    // Other clients hand jobs in all the while, at the node that leads.
    calls.add(
        World.inBackground(
            () -> {
              while (!ended.get()) {
                world.call(leader, "POST", world.newId(), SHORT_JOB, 3_000);
                Http.sleep(40);
              }
            }));
    Http.sleep(4_000);
    String id = world.newId();
    world.store.resetCounts();
    if (trouble) {
      long lostUntil = record.now() + LOST_MILLISECONDS;
      world.store.setFault(
          (topic, entries) -> {
            boolean isOfJob = entries.stream().anyMatch(entry -> entry.key().equals("job/" + id));
            if (!isOfJob || record.now() >= lostUntil) {
              return new Store.Fate.Normal();
            }
            record.add("store loses the answer of an append of job=%s", id);
            return new Store.Fate.LostAndLate(LATE_MILLISECONDS);
          });
    }
    World.Answer accepted = world.call(others.get(0), "POST", id, LASTING_JOB, 3_000);
    record.add("store %s share=%.2f", world.store.counts(), world.store.lostShare());
    World.Answer cancelled = world.call(others.get(1), "DELETE", id, "", 3_000);
    while (cancelled.status() == 503 || cancelled.status() == 504 || cancelled.status() == 0) {
      Http.sleep(200);
      cancelled = world.call(others.get(1), "DELETE", id, "", 3_000);
    }
    long acknowledgedAt = record.now();
    if (trouble && world.store.lostShare() > 0.35) {
      throw new IllegalStateException("too many answers were lost: " + world.store.counts());
    }
    record.add(
        "client job=%s handed_in=%d cancelled=%d", id, accepted.status(), cancelled.status());
    boolean held = true;
    long limit = acknowledgedAt + CANCEL_MILLISECONDS + STOP_MILLISECONDS;
    while (record.now() < acknowledgedAt + WATCHED_MILLISECONDS) {
      for (Runner runner : world.runners) {
        for (String task : runner.tasks()) {
          if (task.startsWith(id) && record.now() > limit) {
            held = false;
          }
        }
      }
      Http.sleep(20);
    }
    for (Runner runner : world.runners) {
      for (String task : runner.tasks()) {
        if (task.startsWith(id)) {
          record.add("still running: task=%s runner=%s", task, runner.id);
        }
      }
    }
    world.call(others.get(1), "GET", id, "", 3_000);
    ended.set(true);
    for (Thread call : calls) {
      call.join();
    }
    return held;
  }
}
