package cases;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs one case: {@code NUMBER FOLDER ROOT TROUBLE}. */
public final class Cases {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** Added to the result, since a virtual machine that cannot start exits with 1 as well. */
  private static final int EXIT_BASE = 10;

  private Cases() {}

  /** A case; returns whether the rule held. */
  interface Case {
    boolean run(World world, boolean trouble) throws Exception;
  }

  /** Runs the case and exits with its result. */
  public static void main(String[] arguments) throws Exception {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    Path folder = Path.of(arguments[1]);
    Path root = Path.of(arguments[2]);
    boolean trouble = !arguments[3].equals("0");
    Path temporary = Files.createTempDirectory("flamingochute-case");
    Events record = new Events();
    int result = COULD_NOT_RUN;
    World world = null;
    try {
      switch (arguments[0]) {
        case "suspended" -> {
          world = new World(root, temporary, record, SuspendedRunners.RUNNERS, 8_000);
          result = new SuspendedRunners().run(world, trouble) ? HELD : BROKEN;
        }
        case "cancelled" -> {
          world = new World(root, temporary, record, 6, 8_000);
          result = new CancelledUnknownJob().run(world, trouble) ? HELD : BROKEN;
        }
        case "late-upkeep" -> {
          world = new World(root, temporary, record, 6, 8_000);
          result = new LateUpkeep().run(world, trouble) ? HELD : BROKEN;
        }
        case "failed-gang" -> {
          world = new World(root, temporary, record, FailedGang.RUNNERS, 8_000);
          result = new FailedGang().run(world, trouble) ? HELD : BROKEN;
        }
        case "foreign-entry" -> {
          world = new World(root, temporary, record, ForeignEntry.RUNNERS, 8_000);
          result = new ForeignEntry().run(world, trouble) ? HELD : BROKEN;
        }
        case "held-start" -> {
          world = new World(root, temporary, record, HeldStart.RUNNERS, 8_000);
          result = new HeldStart().run(world, trouble) ? HELD : BROKEN;
        }
        default -> System.err.println("no such case: " + arguments[0]);
      }
    } catch (Exception e) {
      record.add("the case could not run: %s", e);
      e.printStackTrace();
    } finally {
      if (world != null) {
        world.close();
        if (System.getenv("KEEP_LOGS") != null) {
          world.keepLogs(Path.of(System.getenv("KEEP_LOGS")));
        }
      }
      record.add("result=%d", result);
      record.write(folder.resolve("record.txt"));
      try (Stream<Path> files = Files.walk(temporary)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    }
    System.exit(EXIT_BASE + result);
  }
}
