import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the store, the machines service, runners and nodes. The nodes are
 * started with the command of the deploy file, with a settings file filled in from its template.
 * The bounds are those of rq-chute.
 */
final class World implements AutoCloseable {
  static final String HOST = "clubs.example";
  static final String PREFIX = "/proofs/";
  static final String KEY = "key-one";
  static final String SERVICE = "proof-svc";
  static final int TASKS_PER_RUNNER = 16;
  static final Map<String, Object> CAPACITY = Json.of("cpu", 32_000, "mem_mb", 65_536, "gpus", 0);

  final Record record;
  final Ledger ledger;
  final Store store;
  final List<Runner> runners = new ArrayList<>();
  final List<Node> nodes = new ArrayList<>();
  private final Server machines;
  private final Map<Long, List<String>> maintained = new HashMap<>();
  private final Map<String, Long> tokens = new HashMap<>();
  private final Path work;
  private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build();

  /** A node process. */
  static final class Node {
    Process process;
    String name;
    String front;
    String ready;
    Path log;
  }

  World(Path recordFile, Path work, int runnerCount) throws IOException {
    this.work = work;
    record = new Record(recordFile);
    ledger = new Ledger(record);
    store = new Store();
    machines = new Server(this::machinesCall);
    for (int i = 0; i < runnerCount; i++) {
      runners.add(new Runner(this, "i-" + (i + 1), SERVICE, "m-" + (i + 1), "zone-" + "abc".charAt(i % 3), "r1-" + (i + 1)));
    }
    declare(1);
  }

  /** Writes a configuration with one route, one service and one tenant. */
  void declare(int version) {
    Map<String, Object> route =
        Json.of("name", "r-proofs", "host", HOST, "path_prefix", PREFIX, "kind", "non_idempotent", "timeout_ms", 3_000,
            "slo_ms", 600, "priority", 0, "service", SERVICE, "max_attempts", 4, "slack_factor", 1.6, "public", false);
    Map<String, Object> configuration =
        Json.of("version", version, "routes", List.of(route),
            "services", List.of(Json.of("name", SERVICE, "enforces_capacity", true)),
            "limits", Json.of("max_body_bytes", 262_144),
            "tenants", List.of(Json.of("name", "t-1", "api_keys", List.of(KEY), "weight", 50,
                "max_count", Json.of("cpu", 0, "mem_mb", 0, "gpus", 0))));
    store.put("keyed.op", "config", Json.write(configuration));
  }

  private Server.Response machinesCall(Server.Request request) {
    if (request.path().equals("/machine-upkeep")) {
      return machineUpkeep(request);
    }
    if (!request.path().equals("/machines")) {
      return Server.Response.json(400, Json.of());
    }
    List<Object> rows = new ArrayList<>();
    for (Runner runner : runners) {
      rows.add(Json.of("machine", runner.machine, "pool", runner.service, "state", runner.inUpkeep() ? "upkeep" : "up",
          "zone", runner.zone, "labels", List.of("a", runner.rack), "capacity", CAPACITY, "id", runner.id()));
    }
    return Server.Response.json(200, Json.of("machines", rows, "next_token", null));
  }

  /** Orders a wave of upkeep. */
  void orderWave(int number, List<String> machineNames, int maximumDown) {
    record.line("operator orders wave " + number + ": " + machineNames + ", at most " + maximumDown + " at once");
    store.put("keyed.op", "wave/" + number,
        Json.write(Json.of("wave", number, "machines", machineNames, "duration_s", 20, "max_count", maximumDown)));
  }

  private synchronized Server.Response machineUpkeep(Server.Request request) {
    Map<String, Object> body = Json.parseObject(request.body());
    String machine = Json.text(body, "machine");
    long wave = Json.number(body, "wave");
    long token = Long.parseLong(request.headers().get("x-fencing-token"));
    String call = "upkeep of " + machine + " for wave " + wave + " by " + request.headers().get("x-lease-holder") + " with token " + token;
    Runner runner = runners.stream().filter(each -> each.machine.equals(machine)).findFirst().orElse(null);
    if (runner == null) {
      return Server.Response.json(400, Json.of());
    }
    if (token < tokens.getOrDefault(machine, 0L)) {
      record.line(call + ": 409 fence");
      return Server.Response.json(409, Json.of("reason", "fence"));
    }
    tokens.put(machine, token);
    if (maintained.getOrDefault(wave, List.of()).contains(machine)) {
      return Server.Response.json(200, Json.of());
    }
    if (runner.inUpkeep()) {
      return Server.Response.json(409, Json.of("reason", "busy"));
    }
    long down = runners.stream().filter(each -> each.inUpkeep() && maintained.getOrDefault(wave, List.of()).contains(each.machine)).count();
    record.line(call + ": begins, " + runner.runningCount() + " tasks end; " + down + " others of the wave are down");
    maintained.computeIfAbsent(wave, number -> new ArrayList<>()).add(machine);
    runner.beginUpkeep();
    return Server.Response.json(200, Json.of());
  }

  /** Returns whether a machine has begun its upkeep for a wave. */
  synchronized boolean hasBegunUpkeep(int wave, String machine) {
    return maintained.getOrDefault((long) wave, List.of()).contains(machine);
  }

  /** Returns the runner with the most tasks. */
  Runner busiestRunner() {
    Runner busiest = runners.get(0);
    for (Runner runner : runners) {
      if (runner.runningCount() > busiest.runningCount()) {
        busiest = runner;
      }
    }
    return busiest;
  }

  /** Starts nodes, and waits until all are ready and one of them leads. */
  void startNodes(int count) throws Exception {
    List<String> addresses = freeAddresses(3 * count);
    for (int i = 0; i < count; i++) {
      nodes.add(startNode("edge-" + (i + 1), "zone-" + "abc".charAt(i % 3), addresses.subList(3 * i, 3 * i + 3)));
    }
    long until = System.currentTimeMillis() + 30_000;
    for (Node node : nodes) {
      while (!isReady(node)) {
        if (System.currentTimeMillis() > until || !node.process.isAlive()) {
          throw new IllegalStateException(node.name + " does not become ready");
        }
        Thread.sleep(50);
      }
    }
    record.line(count + " nodes are ready");
  }

  private boolean isReady(Node node) {
    try {
      HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + node.ready + "/ready")).timeout(Duration.ofSeconds(1)).build();
      return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException | InterruptedException e) {
      return false;
    }
  }

  /** Returns addresses with ports that are free, all different. */
  private static List<String> freeAddresses(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"));
      sockets.add(socket);
      addresses.add("127.0.0.1:" + socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return addresses;
  }

  private Node startNode(String name, String zone, List<String> addresses) throws IOException {
    Node node = new Node();
    node.name = name;
    node.front = addresses.get(0);
    node.ready = addresses.get(1);
    node.log = work.resolve(name + ".log");
    Map<String, String> fields = new HashMap<>();
    fields.put("node_name", name);
    fields.put("zone", zone);
    fields.put("ip", "127.0.0.1");
    fields.put("listen_addrs.front", node.front);
    fields.put("listen_addrs.ready_addr", node.ready);
    fields.put("port_range.0", addresses.get(2).split(":")[1]);
    fields.put("limits.cpu_share", "0.75");
    fields.put("limits.cores", "1");
    fields.put("limits.link_mbps", "1000.0");
    fields.put("platform.address", store.server.address());
    fields.put("platform.record_bytes", "262144");
    fields.put("cloud_api.address", machines.address());
    fields.put("bounds.max_hold_ms", "10000");
    fields.put("bounds.revoke_ms", "5000");
    fields.put("bounds.grace_s", "6");
    fields.put("bounds.status_s", "120");
    fields.put("bounds.lease_ms", "3000");
    fields.put("bounds.interference_ms", "4000");
    fields.put("bounds.notice_ms", "4500");
    fields.put("bounds.maintenance_s", "2");
    fields.put("bounds.migrate_s", "1.5");
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    String template = Files.readString(Path.of(value(deploy, "template")));
    Matcher placeholder = Pattern.compile("\\{\\{([^}]+)}}").matcher(template);
    String settings =
        placeholder.replaceAll(
            match -> {
              String field = fields.get(match.group(1));
              if (field == null) {
                throw new IllegalStateException("no field " + match.group(1));
              }
              return Matcher.quoteReplacement(field);
            });
    Path file = work.resolve(name + ".ini");
    Files.writeString(file, settings);
    ProcessBuilder builder = new ProcessBuilder(value(deploy, "run").split(" +"));
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("FLAMINGOCHUTE_BOOT", file.toString());
    builder.redirectErrorStream(true).redirectOutput(node.log.toFile());
    node.process = builder.start();
    record.line("node " + name + " starts");
    return node;
  }

  private static String value(String toml, String key) {
    Matcher matcher = Pattern.compile("(?m)^" + key + " *= *\"(.*)\"").matcher(toml);
    if (!matcher.find()) {
      throw new IllegalStateException("deploy/system.toml has no " + key);
    }
    return matcher.group(1);
  }

  /** Submits a job of one step; returns the status, or 0 if there was none. */
  int submit(Node node, String job, int tasks, long workMilliseconds) {
    return submit(node, job, tasks, workMilliseconds, "");
  }

  /** Submits a job of one step whose data is located in a rack. */
  int submit(Node node, String job, int tasks, long workMilliseconds, String rack) {
    Map<String, Object> step = Json.of("count", tasks, "cpu", 2_000, "mem_mb", 1_024, "estimate_ms", workMilliseconds);
    if (!rack.isEmpty()) {
      step.put("affinity", rack);
    }
    String body = Json.write(Json.of("spec", String.valueOf(workMilliseconds), "job_steps", List.of(step)));
    return call(node, "POST", job, body).status;
  }

  /** The state of a job, or the status if it is not 200. */
  String state(Node node, String job) {
    Answer answer = call(node, "GET", job, "");
    return answer.status == 200 ? Json.text(Json.parseObject(answer.body.getBytes()), "state") : String.valueOf(answer.status);
  }

  private record Answer(int status, String body) {}

  private Answer call(Node node, String method, String job, String body) {
    record.line("client -> " + node.name + ": " + method + " " + job + (body.isEmpty() ? "" : " " + body));
    Answer answer;
    try (java.net.Socket socket = new java.net.Socket("127.0.0.1", Integer.parseInt(node.front.split(":")[1]))) {
      socket.setSoTimeout(3_000);
      String head = method + " " + PREFIX + job + " HTTP/1.1\r\nHost: " + HOST + "\r\nAuthorization: Token " + KEY
          + "\r\nX-Timeout-Ms: 3000\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + body.getBytes().length + "\r\n\r\n";
      socket.getOutputStream().write((head + body).getBytes());
      socket.getOutputStream().flush();
      String all = new String(socket.getInputStream().readAllBytes());
      int gap = all.indexOf("\r\n\r\n");
      answer = gap < 0 ? new Answer(0, "") : new Answer(Integer.parseInt(all.split(" ")[1]), all.substring(gap + 4));
    } catch (IOException e) {
      answer = new Answer(0, "");
    }
    record.line("client <- " + node.name + ": " + method + " " + job + ": " + (answer.status == 0 ? "no answer" : answer.status + " " + answer.body));
    return answer;
  }

  /** Waits until a job is completed; returns whether it is. */
  boolean awaitCompleted(Node node, String job, long milliseconds) throws InterruptedException {
    long until = System.currentTimeMillis() + milliseconds;
    while (System.currentTimeMillis() < until) {
      if (state(node, job).equals("completed")) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  /** Ends all processes, and copies what the nodes logged of leadership and of runs to the record. */
  @Override
  public void close() {
    for (Node node : nodes) {
      node.process.destroyForcibly();
    }
    for (Node node : nodes) {
      try {
        node.process.waitFor(5, TimeUnit.SECONDS);
        for (String line : Files.readAllLines(node.log)) {
          if (line.matches(".*event=(leadership|run_over|tasks_placed|start_not|stray|worker_|call_answered|dependency|job_ended|uncaught|machine_|wave_|upkeep|topic_loaded|ready).*")) {
            record.line("log of " + node.name + ": " + line);
          }
        }
      } catch (IOException | InterruptedException e) {
        record.line("no log of " + node.name + ": " + e);
      }
    }
    record.close();
  }
}
