import java.util.List;

/**
 * Another writer puts an entry into the store that names a service of no configuration, and the
 * address of a runner. It names no runner to use; the entry of that runner holds.
 */
final class ForeignEntry implements Case.Script {
  private static final String JOB = "00000000000000b4";

  @Override
  public boolean run(World world, boolean trouble) throws Exception {
    world.submit(world.nodes.get(0), JOB, 8, 4_000);
    Thread.sleep(1_000);
    if (trouble) {
      Runner busiest = world.busiestRunner();
      world.record.line("another writer puts an entry of an unknown service with the address of " + busiest.id());
      world.store.put("keyed.servers", "x-foreign",
          Json.write(Json.of("service", "no-such-svc", "address", busiest.server.address(), "zone", busiest.zone,
              "version", "v1", "slots", 8, "state", "ready", "cold_left_ms", 0, "capacity", World.CAPACITY,
              "labels", List.of("a", busiest.rack), "clock_ms", 1, "seq_no", 1, "born", System.currentTimeMillis())));
    }
    world.awaitCompleted(world.nodes.get(0), JOB, 15_000);
    return world.ledger.overlaps() > 0;
  }
}
