package cases;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Two of fourteen runners fail all that they start for 6.5 s, and are sound from then on. Later
 * three jobs are handed in, each with thirteen tasks that last, at most one on a runner.
 */
final class SuspendedRunners implements Cases.Case {
  static final int RUNNERS = 14;
  private static final int TASKS = 13;
  private static final int GREY_RUNNERS = 2;
  private static final int CAPACITY = 8_000;
  private static final int LASTING_CAPACITY = 1_000;
  private static final long GREY_MILLISECONDS = 6_500;
  private static final long CALM_MILLISECONDS = 8_000;

  /** Times at which the jobs are handed in, after the calm, and the end of the case. */
  private static final long[] JOB_TIMES = {0, 26_000, 27_000};

  private static final long WATCHED_MILLISECONDS = 65_000;
  private static final long IDLE_LIMIT_MILLISECONDS = 3_000;
  private static final String SHORT_JOB =
      "{\"spec\":\"work_ms=1000 cpu=5000\",\"job_steps\":[{\"count\":1,\"cpu\":5000,"
          + "\"mem_mb\":1000,\"estimate_ms\":1000}]}";
  private static final String LASTING_JOB =
      "{\"spec\":\"cpu=1000 lasting=1\",\"job_steps\":[{\"count\":13,\"cpu\":1000,"
          + "\"mem_mb\":1000,\"estimate_ms\":1000,\"anti_affinity\":1,\"long_running\":true}]}";

  private final Map<String, Long> idleSince = new HashMap<>();
  private long longest;

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    world.start(3_000, 4);
    Events record = world.record;
    List<Runner> grey = world.runners.subList(0, GREY_RUNNERS);
    long trafficEnd = record.now() + GREY_MILLISECONDS;
    if (trouble) {
      grey.forEach(runner -> runner.setGrey(true));
    }
    int sent = 0;
    List<Thread> calls = new ArrayList<>();
    while (record.now() < trafficEnd) {
      Nodes.Node node = world.nodes.all.get(sent++ % 3);
      calls.add(
          World.inBackground(() -> world.call(node, "POST", world.newId(), SHORT_JOB, 3_000)));
      Http.sleep(70);
    }
    grey.forEach(runner -> runner.setGrey(false));
    for (Thread call : calls) {
      call.join();
    }
    Http.sleep(CALM_MILLISECONDS);
    watch(world);
    record.add("longest_idle_ms=%d limit_ms=%d", longest, IDLE_LIMIT_MILLISECONDS);
    return longest <= IDLE_LIMIT_MILLISECONDS;
  }

  private void watch(World world) {
    Events record = world.record;
    long begin = record.now();
    long reported = 0;
    List<String> jobs = new ArrayList<>();
    while (record.now() - begin < WATCHED_MILLISECONDS) {
      if (jobs.size() < JOB_TIMES.length && record.now() - begin >= JOB_TIMES[jobs.size()]) {
        jobs.add(handIn(world));
      }
      observe(world, jobs);
      if (record.now() - reported >= 1_000) {
        reported = record.now();
        report(world, jobs);
      }
      Http.sleep(100);
    }
  }

  private String handIn(World world) {
    String id = world.newId();
    World.Answer answer = world.call(world.nodes.all.getFirst(), "POST", id, LASTING_JOB, 3_000);
    if (answer.status() != 200) {
      throw new IllegalStateException("the lasting job was not accepted");
    }
    for (int index = 0; index < TASKS; index++) {
      idleSince.put(id + ".0.0." + index, world.record.now());
    }
    return id;
  }

  private void observe(World world, List<String> jobs) {
    long now = world.record.now();
    for (Map.Entry<String, Long> entry : idleSince.entrySet()) {
      if (world.runners.stream().anyMatch(runner -> runner.isRunning(entry.getKey()))) {
        entry.setValue(now);
      }
      longest = Math.max(longest, now - entry.getValue());
    }
  }

  /** Records the tasks that don't run, and the runners that could run two like them. */
  private void report(World world, List<String> jobs) {
    long now = world.record.now();
    for (String job : jobs) {
      List<String> idle = new ArrayList<>();
      idleSince.forEach(
          (task, since) -> {
            if (task.startsWith(job) && now - since > 500) {
              idle.add(task);
            }
          });
      List<String> suitable = new ArrayList<>();
      for (Runner runner : world.runners) {
        boolean hasTask = runner.tasks().stream().anyMatch(task -> task.startsWith(job));
        boolean hasRoom = CAPACITY - runner.usedCapacity() >= 2 * LASTING_CAPACITY;
        if (!hasTask && hasRoom) {
          suitable.add(runner.id);
        }
      }
      if (!idle.isEmpty()) {
        long used = world.runners.stream().mapToLong(Runner::usedCapacity).sum();
        world.record.add(
            "idle=%s suitable_sound_runners=%s used=%d of=%d longest_idle_ms=%d",
            idle, suitable, used, RUNNERS * CAPACITY, longest);
      }
    }
  }
}
