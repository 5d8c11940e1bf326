/**
 * A runner with some tasks loses power, and starts again under its id 0.4 s later. A job is
 * submitted while it is away. The other runners are sound and have room for it.
 */
final class SameIdRestart implements Case.Script {
  private static final long DARK_MILLISECONDS = 400;
  private static final String EARLIER_JOB = "00000000000000b3";
  private static final String JOB = "00000000000000c3";

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    world.submit(world.nodes.get(0), EARLIER_JOB, 6, 3_000);
    Thread.sleep(1_000);
    Runner runner = world.busiestRunner();
    if (trouble) {
      runner.losePower();
    }
    Thread.sleep(DARK_MILLISECONDS / 4);
    int status = world.submit(world.nodes.get(0), JOB, 16, 1_500);
    if (status != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
    Thread.sleep(DARK_MILLISECONDS - DARK_MILLISECONDS / 4);
    if (trouble) {
      runner.startAgain();
    }
    world.awaitCompleted(world.nodes.get(0), JOB, 15_000);
    world.awaitCompleted(world.nodes.get(0), EARLIER_JOB, 15_000);
    return world.ledger.overlaps() > 0;
  }
}
