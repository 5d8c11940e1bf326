import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Runs one case: {@code Case NAME RECORD_FILE}. Exits with 1 if the rule was broken, 0 if it held
 * and 2 if the case could not run. With TROUBLE=0 in the environment nothing is disrupted.
 */
final class Case {
  interface Script {
    /** Called before the nodes start. */
    default void beforeNodes(World world, boolean trouble) {}

    /** Returns whether the rule was broken. */
    boolean run(World world, boolean trouble) throws Exception;
  }

  private static final int RUNNERS = 8;

  private Case() {}

  public static void main(String[] arguments) throws Exception {
    Path work = Files.createTempDirectory("review-case");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    World world = new World(Path.of(arguments[1]), work, RUNNERS);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> world.nodes.forEach(node -> node.process.destroyForcibly())));
    try {
      Script script =
          switch (arguments[0]) {
            case "unreadable-key" -> new UnreadableKey();
            case "refused" -> new RefusedThenRun();
            case "same-id" -> new SameIdRestart();
            case "two-waves" -> new TwoWaves();
            case "foreign-entry" -> new ForeignEntry();
            default -> throw new IllegalArgumentException("no case " + arguments[0]);
          };
      script.beforeNodes(world, trouble);
      world.startNodes(3);
      if (!(script instanceof UnreadableKey)) {
        warmUp(world);
      }
      boolean broken = script.run(world, trouble);
      world.record.line(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
      status = broken ? 1 : 0;
    } catch (Exception e) {
      world.record.line("RESULT: the case could not run: " + e);
      e.printStackTrace();
    }
    world.close();
    try (var files = Files.walk(work)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
    System.out.println(arguments[0] + (trouble ? "" : " without trouble") + ": exit " + status);
    System.exit(status);
  }

  /** Jobs at all nodes and on all runners, until they complete: a leader is at work. */
  private static void warmUp(World world) throws Exception {
    for (int i = 0; i < 3; i++) {
      String job = "00000000000000a" + i;
      World.Node node = world.nodes.get(i);
      if (world.submit(node, job, RUNNERS * World.TASKS_PER_RUNNER, 300) != 200 || !world.awaitCompleted(node, job, 15_000)) {
        throw new IllegalStateException("a job before the trouble is not completed");
      }
    }
  }
}
