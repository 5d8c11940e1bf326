import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The store goes down just after it has stored a job, before it answers: its connections are reset,
 * and new ones are refused until it is back after 4.5 s. The client of the job sends it once.
 */
final class RefusedThenRun implements Case.Script {
  private static final long DOWN_MILLISECONDS = 4_500;
  private static final String JOB = "00000000000000b1";

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    AtomicBoolean struck = new AtomicBoolean();
    if (trouble) {
      world.store.afterAppend =
          (topic, keys) -> {
            boolean isJob = keys.stream().anyMatch(key -> key.contains(JOB));
            if (!isJob || !struck.compareAndSet(false, true)) {
              return false;
            }
            goDown(world, keys);
            return true;
          };
    }
    int status = world.submit(world.nodes.get(0), JOB, 1, 300);
    if (trouble && !struck.get()) {
      throw new IllegalStateException("the store has not stored the job");
    }
    Thread.sleep(10_000);
    long starts = world.ledger.startsOf(JOB);
    world.record.line("job " + JOB + ": status " + status + " to its only submission, " + starts + " starts");
    return (status == 429 || status == 503) && starts > 0;
  }

  private static void goDown(World world, List<String> keys) {
    world.record.line("the store has stored " + keys + "; it goes down before it answers");
    world.store.server.stopListening();
    world.store.server.resetAll();
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(DOWN_MILLISECONDS);
                world.store.server.listen();
                world.record.line("the store is back");
              } catch (Exception e) {
                world.record.line("the store does not come back: " + e);
              }
            });
  }
}
