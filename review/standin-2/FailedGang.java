package cases;

/**
 * One of seven runners fails all that it starts. A job whose four tasks work only together is
 * handed in; it may fail three times.
 */
final class FailedGang implements Cases.Case {
  static final int RUNNERS = 7;
  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final long GREY_MILLISECONDS = 6_500;
  private static final long WATCHED_MILLISECONDS = 15_000;
  private static final String JOB =
      "{\"spec\":\"work_ms=800 cpu=1000 gang=4\",\"job_steps\":[{\"count\":4,\"cpu\":1000,"
          + "\"mem_mb\":1000,\"estimate_ms\":800,\"gang\":true}]}";

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    world.start(3_000, MAXIMUM_ATTEMPTS);
    Events record = world.record;
    Http.sleep(2_000);
    Nodes.Node node = world.nodes.all.getFirst();
    String earlier = world.newId();
    world.call(node, "POST", earlier, JOB, 3_000);
    Http.sleep(2_000);
    Runner used = world.runners.stream().filter(r -> r.hasRun(earlier)).findFirst().orElseThrow();
    if (trouble) {
      used.setGrey(true);
      World.inBackground(
          () -> {
            Http.sleep(GREY_MILLISECONDS);
            used.setGrey(false);
          });
    }
    String id = world.newId();
    if (world.call(node, "POST", id, JOB, 3_000).status() != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
    long end = record.now() + WATCHED_MILLISECONDS;
    String state = "";
    while (record.now() < end) {
      state = world.call(node, "GET", id, "", 3_000).body();
      if (state.contains("completed") || state.contains("failed")) {
        break;
      }
      Http.sleep(200);
    }
    int failedRuns = record.failedAttemptsOf(id);
    record.add(
        "state=%s failed_runs_of_the_gang=%d max_attempts=%d",
        state, failedRuns, MAXIMUM_ATTEMPTS);
    return !state.contains("failed") || failedRuns >= MAXIMUM_ATTEMPTS;
  }
}
