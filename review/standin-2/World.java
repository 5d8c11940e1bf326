package cases;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback: the platform, the runners, three nodes and clients. */
final class World implements AutoCloseable {
  static final String KEY = "case-key";
  static final String PREFIX = "/jobs/";
  private static final long HEARTBEAT_MILLISECONDS = 1_500;
  private static final long TICK_MILLISECONDS = 5;
  private static final long READY_TIMEOUT_MILLISECONDS = 30_000;
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  final Events record;
  final Store store = new Store();
  final List<Runner> runners = new CopyOnWriteArrayList<>();
  final Machines machines = new Machines(this);
  private final Gangs gangs = new Gangs();
  final Nodes nodes;
  private final HttpServer platform;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .executor(Executors.newThreadPerTaskExecutor(Thread.ofVirtual().factory()))
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final ScheduledExecutorService ticks = Executors.newScheduledThreadPool(2);
  private final Random ids = new Random(7);

  World(Path root, Path temporary, Events record, int runnerCount, long capacity)
      throws IOException {
    this.record = record;
    platform = Http.serve(this::handlePlatform);
    for (int i = 0; i < runnerCount; i++) {
      runners.add(
          new Runner(
              "w" + (100 + i),
              "machine-" + (100 + i),
              "service",
              ZONES.get(i % 3),
              capacity,
              store,
              gangs,
              record));
      machines.add(runners.getLast());
    }
    nodes = new Nodes(root, temporary, Http.addressOf(platform), record);
  }

  /** Writes the configuration, starts the runners and the nodes, and waits until all are ready. */
  void start(int timeoutMilliseconds, int maximumAttempts) throws IOException {
    store.put(
        "keyed.op",
        "config",
        ("{\"version\":3,\"routes\":[{\"name\":\"jobs\",\"host\":\"127.0.0.1\","
                + "\"path_prefix\":\"%s\",\"service\":\"service\",\"priority\":0,"
                + "\"max_attempts\":%d,\"slack_factor\":2.0,\"slo_ms\":600,\"timeout_ms\":%d}],"
                + "\"services\":[{\"name\":\"service\",\"enforces_capacity\":true}],"
                + "\"limits\":{\"max_body_bytes\":262144},\"tenants\":[{\"name\":\"club\","
                + "\"api_keys\":[\"%s\"],\"weight\":200,\"max_count\":{}}]}")
            .formatted(PREFIX, maximumAttempts, timeoutMilliseconds, KEY));
    ticks.scheduleAtFixedRate(
        () -> runners.forEach(Runner::writeEntry),
        0,
        HEARTBEAT_MILLISECONDS,
        TimeUnit.MILLISECONDS);
    ticks.scheduleAtFixedRate(
        () -> runners.forEach(Runner::advance), 0, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
    for (int i = 0; i < 3; i++) {
      nodes.start(nodes.add("edge-" + ZONES.get(i) + "-1", ZONES.get(i), ZONES));
    }
    long begin = record.now();
    for (Nodes.Node node : nodes.all) {
      while (get("http://" + node.ready + "/ready") != 200) {
        if (!node.isAlive() || record.now() - begin > READY_TIMEOUT_MILLISECONDS) {
          throw new IOException("node " + node.name + " isn't ready");
        }
        Http.sleep(50);
      }
    }
    while (nodes.leader() == null) {
      if (record.now() - begin > READY_TIMEOUT_MILLISECONDS) {
        throw new IOException("no node leads");
      }
      Http.sleep(50);
    }
    record.add("all nodes are ready, %s leads", nodes.leader().name);
  }

  private int get(String uri) {
    try {
      return client
          .send(
              HttpRequest.newBuilder(URI.create(uri)).timeout(Duration.ofSeconds(1)).build(),
              HttpResponse.BodyHandlers.discarding())
          .statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private void handlePlatform(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    if (path.startsWith("/machine")) {
      machines.handle(exchange);
    } else {
      store.handle(exchange);
    }
  }

  /** Starts a server of another deployment, which writes no entry here. */
  Runner newForeignRunner(String id) throws IOException {
    return new Runner(id, id, "other-service", ZONES.getFirst(), 1_000, store, gangs, record);
  }

  /** Starts a new runner on a machine whose former runner has ended. */
  Runner replaceRunner(Runner former) {
    try {
      Runner runner =
          new Runner(
              former.id + "b", former.machine, "service", former.zone, former.capacity, store, gangs, record);
      runners.remove(former);
      runners.add(runner);
      runner.writeEntry();
      return runner;
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Starts a runner that has crashed again, under its id and address. */
  Runner startAgain(Runner crashed) throws IOException {
    Runner runner = new Runner(crashed);
    runners.remove(crashed);
    runners.add(runner);
    runner.writeEntry();
    record.add("runner %s started again", runner.id);
    return runner;
  }

  String newId() {
    return "%016x".formatted(ids.nextLong());
  }

  /** A client's answer: its status, or 0 if there was none in time, and its body. */
  record Answer(int status, String body) {}

  /** Makes a client's call, which waits for at most the given time. */
  Answer call(
      Nodes.Node node, String method, String id, String body, int timeoutMilliseconds) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + node.front + PREFIX + id))
            .header("Authorization", "Token " + KEY)
            .header("Content-Type", "application/json")
            .header("X-Timeout-Ms", Integer.toString(timeoutMilliseconds))
            .timeout(Duration.ofMillis(timeoutMilliseconds))
            .method(
                method,
                body.isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .build();
    if (!method.equals("GET")) {
      record.add("client %s job=%s node=%s", method, id, node.name);
    }
    Answer answer;
    try {
      HttpResponse<String> response =
          client.send(request, HttpResponse.BodyHandlers.ofString());
      answer = new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      answer = new Answer(0, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      answer = new Answer(0, e.toString());
    }
    record.add(
        "answer %s job=%s node=%s status=%d %s",
        method, id, node.name, answer.status(), answer.body());
    return answer;
  }

  /** Runs an action on a thread of its own. */
  static Thread inBackground(Runnable action) {
    return Thread.ofVirtual().start(action);
  }

  @Override
  public void close() throws IOException {
    ticks.shutdownNow();
    nodes.stopAll();
    platform.stop(0);
  }

  /** Copies the nodes' logs for a person who looks into a failure. */
  void keepLogs(Path folder) throws IOException {
    Files.createDirectories(folder);
    for (Nodes.Node node : nodes.all) {
      if (Files.exists(node.log())) {
        Files.copy(
            node.log(),
            folder.resolve(node.name + ".log"),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      }
    }
  }
}
