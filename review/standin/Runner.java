import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * A runner at one address: the lives that it has had, one after the other. What runs in a life, its
 * lease, its ends and the highest fencing token are lost with it. A task's spec is how many
 * milliseconds it works.
 */
final class Runner {
  static final long HEARTBEAT_MILLISECONDS = 1_500;

  /** maintenance_s, which is 2. */
  private static final long UPKEEP_MILLISECONDS = 2_000;
  private static final long MAXIMUM_LEASE_MILLISECONDS = 10_000;

  /** A stop takes at most stop_timeout_ms, which is 200. */
  private static final long STOP_MILLISECONDS = 150;

  private static final class Run {
    int attempt;
    long startedAt;
    long workMilliseconds;
    long stopAt = Long.MAX_VALUE;
    Ledger.Entry entry;
  }

  /** One life of the runner. */
  private final class Life {
    final String id;
    final long born = System.currentTimeMillis();
    final Map<String, Run> running = new LinkedHashMap<>();
    final Map<String, Integer> highestEnded = new HashMap<>();
    final List<Object[]> finished = new ArrayList<>();
    long token;
    long leaseUntil;
    long ends;

    Life(String id) {
      this.id = id;
    }

    long clock() {
      return System.currentTimeMillis() - born;
    }
  }

  private final World world;
  final String service;
  final String machine;
  final String zone;
  final String rack;
  final Server server;
  private Life life;
  private long sequence;
  private volatile boolean reporting = true;

  /** Called after a start was carried out; if it returns true, the start gets no answer. */
  volatile BiFunction<Runner, String, Boolean> afterStart = (runner, task) -> false;

  /** Connections of an earlier life; what arrives on them is answered with a reset. */
  private final List<Socket> deadConnections = new ArrayList<>();
  private volatile boolean dark;
  private volatile boolean inUpkeep;

  Runner(World world, String id, String service, String machine, String zone, String rack) throws IOException {
    this.world = world;
    this.service = service;
    this.machine = machine;
    this.zone = zone;
    this.rack = rack;
    life = new Life(id);
    server = new Server(this::handle);
    Thread.ofVirtual().start(this::tick);
    Thread.ofVirtual().start(this::report);
  }

  synchronized String id() {
    return life.id;
  }

  synchronized int runningCount() {
    return life.running.size();
  }

  private void report() {
    try {
      while (true) {
        if (reporting) {
          writeReport();
        }
        Thread.sleep(HEARTBEAT_MILLISECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeReport() {
    String id;
    Object report;
    synchronized (this) {
      sequence++;
      id = life.id;
      report =
          Json.of("service", service, "address", server.address(), "zone", zone, "version", "v1", "slots", 8,
              "state", "ready", "cold_left_ms", 0, "capacity", World.CAPACITY, "labels", List.of("a", rack),
              "clock_ms", life.clock(), "seq_no", sequence, "born", life.born);
    }
    world.store.put("keyed.servers", id, Json.write(report));
  }

  /**
   * The machine loses power: it neither sends nor receives, and what ran there has ended. Its
   * connections stay open at the other side.
   */
  synchronized void losePower() {
    dark = true;
    reporting = false;
    for (Map.Entry<String, Run> entry : life.running.entrySet()) {
      entry.getValue().entry.end("lost with its runner");
    }
    life.running.clear();
    deadConnections.addAll(server.connections());
    world.record.line("runner " + life.id + " (born " + life.born + ") loses power");
    notifyAll();
  }

  /**
   * It starts again under its former id, at its former address. Connections of the former life are
   * unknown now: those on which something was sent meanwhile are reset, as it is sent again.
   */
  void startAgain() {
    synchronized (this) {
      life = new Life(life.id);
      sequence = 0;
      dark = false;
      reporting = true;
      world.record.line("runner " + life.id + " starts again under its id (born " + life.born + ")");
      notifyAll();
    }
    writeReport();
  }

  boolean inUpkeep() {
    return inUpkeep;
  }

  /** The machine is down for its upkeep; then a new runner is at the address. */
  synchronized void beginUpkeep() {
    inUpkeep = true;
    reporting = false;
    for (Map.Entry<String, Run> entry : life.running.entrySet()) {
      entry.getValue().entry.end("ended by the upkeep");
    }
    life.running.clear();
    String oldId = life.id;
    life = new Life(oldId + "u");
    sequence = 0;
    server.stopListening();
    server.resetAll();
    world.store.put("keyed.servers", oldId, "");
    notifyAll();
    Thread.ofVirtual().start(this::endUpkeep);
  }

  private void endUpkeep() {
    try {
      Thread.sleep(UPKEEP_MILLISECONDS);
      server.listen();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
    inUpkeep = false;
    reporting = true;
    writeReport();
    world.record.line(machine + " is back from its upkeep");
  }

  private void tick() {
    try {
      while (true) {
        synchronized (this) {
          long now = System.currentTimeMillis();
          for (Map.Entry<String, Run> entry : List.copyOf(life.running.entrySet())) {
            Run run = entry.getValue();
            if (now >= run.stopAt) {
              end(entry.getKey(), "stopped");
            } else if (now - run.startedAt >= run.workMilliseconds) {
              end(entry.getKey(), "done");
            } else if (life.clock() >= life.leaseUntil) {
              end(entry.getKey(), "lapsed");
            }
          }
        }
        Thread.sleep(5);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void end(String task, String how) {
    Run run = life.running.remove(task);
    life.highestEnded.merge(task, run.attempt, Math::max);
    life.finished.add(new Object[] {++life.ends, task, run.attempt, how, ""});
    run.entry.end(how);
    notifyAll();
  }

  private Server.Response handle(Server.Request request) throws Exception {
    synchronized (this) {
      if (dark || deadConnections.contains(request.socket())) {
        // Nothing of it is received; the sender sends it again until the machine is back, and then
        // the connection is unknown there.
        while (dark) {
          wait();
        }
        Server.reset(request.socket());
        return null;
      }
    }
    Map<String, Object> body = Json.parseObject(request.body());
    String target = request.headers().get("x-target-instance");
    synchronized (this) {
      if (target != null && !target.equals(life.id)) {
        return Server.Response.json(421, Json.of());
      }
      long token = Json.number(body, "fencing_token");
      if (token < life.token) {
        return refuse("fence");
      }
      life.token = token;
    }
    return switch (request.path()) {
      case "/hold" -> hold(body, request.socket());
      case "/run-start" -> start(body);
      case "/run-stop" -> stop(body);
      case "/pace" -> Server.Response.json(200, Json.of("clock_ms", life.clock()));
      default -> Server.Response.json(404, Json.of());
    };
  }

  private Server.Response refuse(String reason) {
    return Server.Response.json(409, Json.of("clock_ms", life.clock(), "reason", reason));
  }

  private void extendLease(long deadline) {
    life.leaseUntil = Math.max(life.leaseUntil, Math.min(deadline, life.clock() + MAXIMUM_LEASE_MILLISECONDS));
  }

  private synchronized Server.Response hold(Map<String, Object> body, Socket socket) throws InterruptedException {
    Life called = life;
    extendLease(Json.number(body, "deadline_ms"));
    long acknowledged = Json.number(body, "ack_cursor");
    life.finished.removeIf(end -> (long) end[0] <= acknowledged);
    long until = System.currentTimeMillis() + Math.min(2_000, Json.number(body, "wait_ms"));
    while (life == called && !dark && life.finished.isEmpty() && System.currentTimeMillis() < until) {
      wait(Math.max(1, until - System.currentTimeMillis()));
    }
    if (life != called || dark) {
      // The process that held this call is gone; its connection stays silent.
      return null;
    }
    List<Object> running = new ArrayList<>();
    life.running.forEach(
        (task, run) -> {
          long share = 100 * (System.currentTimeMillis() - run.startedAt) / Math.max(1, run.workMilliseconds);
          running.add(List.of(task, run.attempt, "", Math.min(99, share), 0));
        });
    List<Object> finished = new ArrayList<>();
    life.finished.stream().limit(500).forEach(end -> finished.add(List.of(end)));
    return Server.Response.json(200,
        Json.of("clock_ms", life.clock(), "born", life.born, "running", running, "finished", finished));
  }

  private Server.Response start(Map<String, Object> body) {
    String task = Json.text(body, "task");
    int attempt = (int) Json.number(body, "attempt");
    synchronized (this) {
      if (Json.number(body, "deadline_ms") <= life.clock()) {
        return refuse("late");
      }
      extendLease(Json.number(body, "deadline_ms"));
      Run known = life.running.get(task);
      if (known != null) {
        return known.attempt == attempt ? Server.Response.json(200, Json.of("clock_ms", life.clock())) : refuse("old");
      }
      if (attempt <= life.highestEnded.getOrDefault(task, 0)) {
        return refuse("old");
      }
      if (life.running.size() >= World.TASKS_PER_RUNNER) {
        return refuse("room");
      }
      Run run = new Run();
      run.attempt = attempt;
      run.startedAt = System.currentTimeMillis();
      run.workMilliseconds = Long.parseLong(Json.text(body, "spec"));
      run.entry = world.ledger.start(task, attempt, life.id, life.born);
      life.running.put(task, run);
    }
    if (afterStart.apply(this, task)) {
      return null;
    }
    return Server.Response.json(200, Json.of("clock_ms", life.clock()));
  }

  private synchronized Server.Response stop(Map<String, Object> body) {
    String task = Json.text(body, "task");
    int attempt = (int) Json.number(body, "attempt");
    world.record.line("runner " + life.id + " told to stop " + task + " attempt " + attempt);
    life.highestEnded.merge(task, attempt, Math::max);
    Run run = life.running.get(task);
    if (run != null && run.attempt == attempt) {
      run.stopAt = Math.min(run.stopAt, System.currentTimeMillis() + STOP_MILLISECONDS);
    }
    return Server.Response.json(200, Json.of("clock_ms", life.clock()));
  }
}
