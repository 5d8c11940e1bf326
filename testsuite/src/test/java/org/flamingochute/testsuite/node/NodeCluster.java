package org.flamingochute.testsuite.node;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.flamingochute.node.program.NodeMain;
import org.flamingochute.platform.standin.FleetSettings;
import org.flamingochute.platform.standin.PlatformServer;
import org.flamingochute.platform.standin.WorkPayload;
import org.flamingochute.platform.standin.caller.CallResult;
import org.flamingochute.platform.standin.caller.NodeClient;
import org.flamingochute.platform.standin.caller.QueueAddress;
import org.flamingochute.testsuite.process.ChildProcesses;

/**
 * A cluster of nodes in separate processes, with the platform stand-in in the process of the test.
 */
final class NodeCluster implements AutoCloseable {
  static final QueueAddress QUEUE = new QueueAddress("/orders/");
  static final String KEY = "clubs-key";
  static final String OTHER_KEY = "shops-key";

  private static final long WAIT_TIMEOUT_SECONDS = 25;
  private static final long WAIT_TIMEOUT_NANOSECONDS = WAIT_TIMEOUT_SECONDS * 1_000_000_000;
  private static final long POLL_INTERVAL_MILLISECONDS = 20;
  private static final Pattern LISTENING_EVENT =
      Pattern.compile("event=listening callers=\\[/([0-9.]+:[1-9]\\d*)\\]");

  private final PlatformServer platform;
  private final StoreGateway gateway;
  private final ChildProcesses processes;
  private final String furtherSettings;
  private final int largeNodes;
  private final HttpClient http = HttpClient.newHttpClient();
  private final NodeClient caller = new NodeClient();
  private final List<String> addresses = new ArrayList<>();

  /**
   * Starts a platform with two pools, declares the first version, starts the nodes and waits until
   * they are ready.
   */
  NodeCluster(Path folder, int nodes) throws Exception {
    this(
        folder,
        nodes,
        List.of(
            new FleetSettings.PoolSize("workshop", 4), new FleetSettings.PoolSize("reserve", 1)));
  }

  /** Starts a cluster as above, with the given machines in the stand-in. */
  NodeCluster(Path folder, int nodes, List<FleetSettings.PoolSize> pools) throws Exception {
    this(folder, nodes, pools, "");
  }

  /** Starts a cluster as above, whose nodes have further sections in their settings. */
  NodeCluster(Path folder, int nodes, List<FleetSettings.PoolSize> pools, String furtherSettings)
      throws Exception {
    this(folder, nodes, pools, furtherSettings, nodes);
  }

  /**
   * Starts a cluster as above, of whose instances only the first ones are large enough to lead a
   * large fleet.
   */
  NodeCluster(
      Path folder,
      int nodes,
      List<FleetSettings.PoolSize> pools,
      String furtherSettings,
      int largeNodes)
      throws Exception {
    this.furtherSettings = furtherSettings;
    this.largeNodes = largeNodes;
    platform = PlatformServer.start(FleetSettings.withShortDurations(pools), "127.0.0.1:0");
    gateway = new StoreGateway(platform.address());
    processes = new ChildProcesses(folder);
    declare(1, KEY, OTHER_KEY);
    for (int i = 0; i < nodes; i++) {
      startNode(i);
    }
    for (int i = 0; i < nodes; i++) {
      addresses.add(addressOf(i));
      // Until a node is ready, it responds with 503 and the load balancer sends it no callers.
      waitForLine(i, "event=ready ");
    }
  }

  private void startNode(int number) throws IOException {
    String settings =
        processes.writeFile(
            nodeName(number) + ".ini",
            """
            [instance]
            name = %s
            data_centre = dc-%d
            data_centres = dc-0,dc-1,dc-2
            front_address = 127.0.0.1:0
            ready_address = 127.0.0.1:0
            metrics_address = 127.0.0.1:0
            processor_share = %s
            [store]
            address = %s
            [fleet_services]
            machines_address = %s
            [bounds]
            maximum_lease_milliseconds = 10000
            key_revocation_milliseconds = 5000
            shutdown_grace_seconds = 6
            status_retention_seconds = 120
            machine_fence_milliseconds = 3000
            move_seconds = 0.5
            maintenance_seconds = 0.5
            %s
            """
                .formatted(
                    nodeName(number),
                    number,
                    number < largeNodes ? "1" : "0.3",
                    gateway.address(),
                    platform.address(),
                    furtherSettings));
    processes.start(nodeName(number), NodeMain.class.getName(), List.of("--settings", settings));
  }

  /** Writes the report of a worker that is not part of the stand-in. */
  void writeWorkerReport(String id, String report) {
    platform.writeWorkerReport(id, report);
  }

  /** Returns the address of a node for callers. */
  String address(int number) {
    return addresses.get(number);
  }

  /** Returns the gateway through which the nodes reach the store. */
  StoreGateway gateway() {
    return gateway;
  }

  static String nodeName(int number) {
    return "node-" + number;
  }

  /** Declares a configuration with one queue and a team for each key. */
  void declare(long version, String... keys) throws Exception {
    declare(version, 10, keys);
  }

  /** Declares a configuration as above, with a guaranteed rate of each team in jobs per second. */
  void declare(long version, double rate, String... keys) throws Exception {
    StringBuilder teams = new StringBuilder();
    for (String key : keys) {
      teams.append(teams.isEmpty() ? "" : ",");
      teams.append(
          "{\"name\":\"team-%s\",\"api_keys\":[\"%s\"],\"weight\":%s}".formatted(key, key, rate));
    }
    post(
        "/operator/declare?key=config",
        """
        {"version":%d,"routes":[{"name":"orders","host":"127.0.0.1","path_prefix":"%s",
        "service":"workshop","max_attempts":3,"slack_factor":2.0,"slo_ms":1000,"timeout_ms":3000}],
        "services":[{"name":"workshop","enforces_capacity":true},
        {"name":"reserve","enforces_capacity":true,"standby":true}],
        "limits":{"max_body_bytes":65536},"tenants":[%s]}
        """
            .formatted(version, QUEUE.pathPrefix(), teams));
  }

  /** Sends a POST request to the platform stand-in and returns the response body. */
  String post(String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + platform.address() + path))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  /** Sends a GET request to the platform stand-in and returns the response body. */
  String get(String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + platform.address() + path)).build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  private String addressOf(int number) throws Exception {
    return waitForText(
        number,
        text -> {
          Matcher matcher = LISTENING_EVENT.matcher(text);
          return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
        });
  }

  /** Returns the IP address and port at which a node serves callers. */
  String callerAddress(int number) {
    return addresses.get(number);
  }

  /** Waits until the log of a node contains a text. */
  void waitForLine(int number, String line) throws Exception {
    waitForText(number, text -> text.contains(line) ? Optional.of(line) : Optional.empty());
  }

  /** Waits until the log of a node contains an event that matches a regular expression. */
  void waitForEvent(int number, String eventAndFields) throws Exception {
    Pattern pattern = Pattern.compile("event=" + eventAndFields);
    waitForText(
        number,
        text -> {
          Matcher matcher = pattern.matcher(text);
          return matcher.find() ? Optional.of(matcher.group()) : Optional.empty();
        });
  }

  /** Extracts a text from a log, if present. */
  @FunctionalInterface
  private interface LogLookup {
    Optional<String> find(String text);
  }

  private String waitForText(int number, LogLookup lookup) throws Exception {
    Path log = processes.pathOf(nodeName(number) + ".log");
    long end = System.nanoTime() + WAIT_TIMEOUT_NANOSECONDS;
    while (System.nanoTime() < end) {
      Optional<String> found = lookup.find(Files.exists(log) ? Files.readString(log) : "");
      if (found.isPresent()) {
        return found.get();
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    throw new IllegalStateException(log + " does not contain the expected text");
  }

  String readLog(int number) throws IOException {
    return Files.readString(processes.pathOf(nodeName(number) + ".log"));
  }

  /**
   * Waits until the log of a node other than the excluded one contains the start of a leadership,
   * and returns the lowest such number. The node may have lost the leadership since.
   */
  int waitForLeader(int excluded) throws Exception {
    long end = System.nanoTime() + WAIT_TIMEOUT_NANOSECONDS;
    while (System.nanoTime() < end) {
      for (int i = 0; i < addresses.size(); i++) {
        if (i != excluded && readLog(i).contains("event=leadership_taken")) {
          return i;
        }
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    throw new IllegalStateException("no node is the leader");
  }

  void sendSignal(int number, String signal) throws Exception {
    processes.sendSignal(nodeName(number), signal);
  }

  int waitForExit(int number) throws Exception {
    return processes.awaitExit(nodeName(number), WAIT_TIMEOUT_SECONDS);
  }

  CallResult submit(int number, String key, String job, WorkPayload payload, int tasks) {
    String body =
        "{\"spec\":\"%s\",\"job_steps\":[{\"count\":%d,\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":100}]}"
            .formatted(payload.text(), tasks, payload.processorMillicores());
    return caller.call(addresses.get(number), QUEUE, key, "POST", job, body);
  }

  /** Submits a job repeatedly until the node responds with status 200. */
  void submitUntilAccepted(int number, String key, String job, WorkPayload payload, int tasks)
      throws Exception {
    long end = System.nanoTime() + WAIT_TIMEOUT_NANOSECONDS;
    while (System.nanoTime() < end) {
      if (statusOf(submit(number, key, job, payload, tasks)) == 200) {
        return;
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    throw new IllegalStateException("job " + job + " was not accepted");
  }

  CallResult call(int number, String key, String method, String job) {
    return caller.call(addresses.get(number), QUEUE, key, method, job, "");
  }

  static int statusOf(CallResult result) {
    return result instanceof CallResult.Answered answered ? answered.status() : 0;
  }

  /** Polls a job at a node until the response contains the given state in quotes. */
  void waitForState(int number, String job, String state) throws Exception {
    String lastResponse = "";
    long end = System.nanoTime() + WAIT_TIMEOUT_NANOSECONDS;
    while (System.nanoTime() < end) {
      if (call(number, KEY, "GET", job) instanceof CallResult.Answered answered) {
        lastResponse = answered.body();
        if (lastResponse.contains("\"" + state + "\"")) {
          return;
        }
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    throw new IllegalStateException("job " + job + " is not " + state + ": " + lastResponse);
  }

  @Override
  public void close() throws IOException {
    processes.close();
    gateway.close();
    platform.close();
  }
}
