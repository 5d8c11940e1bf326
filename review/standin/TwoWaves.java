import java.util.List;

/**
 * Two waves of upkeep with machines in common. With trouble, the second is ordered while the first
 * is at work; without, after it is completed.
 */
final class TwoWaves implements Case.Script {
  private static final List<String> FIRST = List.of("m-1", "m-2");
  private static final List<String> SECOND = List.of("m-1", "m-2", "m-3");

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    world.orderWave(1, FIRST, 1);
    if (trouble) {
      Thread.sleep(500);
    } else if (!awaitCompleted(world, 1)) {
      throw new IllegalStateException("the first wave is not completed");
    }
    world.orderWave(2, SECOND, 1);
    if (!awaitCompleted(world, 2)) {
      throw new IllegalStateException("the second wave is not completed");
    }
    boolean broken = false;
    for (String machine : SECOND) {
      if (!world.hasBegunUpkeep(2, machine)) {
        broken = true;
        world.record.line("MIXED: wave 2 is said to be completed, and " + machine + " has not begun its upkeep for it");
      }
    }
    return broken;
  }

  private static boolean awaitCompleted(World world, int wave) throws InterruptedException {
    long until = System.currentTimeMillis() + 30_000;
    while (System.currentTimeMillis() < until) {
      String report = world.store.get("keyed.status", "wave/" + wave);
      if (report != null && report.contains("completed")) {
        world.record.line("status/wave/" + wave + ": " + report);
        return true;
      }
      Thread.sleep(20);
    }
    return false;
  }
}
