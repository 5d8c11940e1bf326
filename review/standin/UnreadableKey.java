import java.util.List;

/**
 * Another writer has put an entry into the store, among those of the runners, whose key and value
 * are bytes that can't be read: a key of eight bytes that are no text. Then the nodes start. All
 * runners are sound, and idle.
 */
final class UnreadableKey implements Case.Script {
  private static final String JOB = "00000000000000b1";

  /** Time within which the job must have run: finish_s (14) and 3 s. */
  private static final long WAIT_MILLISECONDS = 17_000;

  @Override
  public void beforeNodes(World world, boolean trouble) {
    if (trouble) {
      world.record.line("another writer puts an entry whose key and value can't be read");
      world.store.put("keyed.servers", "\u0003\u001d\u0010\u007f\u0001\u0002\u0016\u0006", "\u0001\u0002\u0003");
    }
  }

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    World.Node node = world.nodes.get(0);
    int status = world.submit(node, JOB, 4, 300);
    if (status != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
    Thread.sleep(WAIT_MILLISECONDS);
    long starts = world.ledger.startsOf(JOB);
    world.record.line("state of " + JOB + ": " + world.state(node, JOB) + ", " + starts + " starts; " + idleRunners(world) + " idle runners of " + world.runners.size());
    return starts == 0 && idleRunners(world) == world.runners.size();
  }

  private static long idleRunners(World world) {
    return List.copyOf(world.runners).stream().filter(runner -> runner.runningCount() == 0).count();
  }
}
