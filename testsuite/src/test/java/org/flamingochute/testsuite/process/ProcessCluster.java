package org.flamingochute.testsuite.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.flamingochute.control.ControlMain;
import org.flamingochute.decision.fleet.FleetDescriptionParser;
import org.flamingochute.decision.fleet.KeyDigest;
import org.flamingochute.entry.EntryMain;
import org.flamingochute.load.DemoSummary;
import org.flamingochute.load.LoadMain;
import org.flamingochute.schema.CallerReport;
import org.flamingochute.schema.EndpointReport;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.standin.http.StandInMain;

/**
 * A cluster of platform and endpoint stand-ins, three entries and callers, each in a separate
 * process on ports that the operating system assigned.
 */
final class ProcessCluster implements AutoCloseable {

  static final int ENTRY_COUNT = 3;

  private static final String BOOTSTRAP_KEY = "process-bootstrap-key";
  private static final int MAXIMUM_READY_POLLS = 600;
  private static final long POLL_INTERVAL_MILLISECONDS = 100;
  private static final String RUNNER_POOLS =
      "proofs:6,quotes:6,bookings:6,lookups:7,orders:6,spare:2";

  /** A rate of requests or orders in the traffic settings. */
  private static final Pattern RATE = Pattern.compile("(s_per_second = )(\\d+)");

  private final ChildProcesses children;
  private final HttpClient client = HttpClient.newHttpClient();
  private final List<String> entryAddresses = new ArrayList<>();
  private final String platform;
  private final String endpoints;

  /** Starts the stand-ins and entries and applies the initial fleet description. */
  ProcessCluster(Path folder) throws IOException, InterruptedException {
    children = new ChildProcesses(folder);
    platform = startPlatform();
    endpoints = startEndpoints();
    children.writeFile("secret", "process-test-secret");
    for (int i = 0; i < ENTRY_COUNT; i++) {
      startEntry(i);
    }
    for (int i = 0; i < ENTRY_COUNT; i++) {
      registerEntry(i);
    }
    for (String address : entryAddresses) {
      awaitReady(address);
    }
    int applied =
        runControlCommand(BOOTSTRAP_KEY, "bootstrap", List.of("apply", fleetFile(), "--base", "0"));
    assertThat("exit code of the first apply", applied, is(0));
  }

  private String startPlatform() throws IOException, InterruptedException {
    String settings =
        children.writeFile(
            "platform.ini", "[platform]\nport_file = " + children.pathOf("platform.ports") + "\n");
    children.start(
        "platform", StandInMain.class.getName(), List.of("platform", "--settings", settings));
    return children.awaitAddress("platform.ports", "http");
  }

  private String startEndpoints() throws IOException, InterruptedException {
    String settings =
        children.writeFile(
            "endpoints.ini",
            "[endpoints]\nplatform_address = "
                + platform
                + "\nrunner_pools = "
                + RUNNER_POOLS
                + "\nworker_pools = prints:6,matches:6\nport_file = "
                + children.pathOf("endpoints.ports")
                + "\n");
    children.start(
        "endpoints", StandInMain.class.getName(), List.of("endpoints", "--settings", settings));
    return children.awaitAddress("endpoints.ports", "http");
  }

  private void startEntry(int index) throws IOException {
    String settings =
        children.writeFile(
            entryName(index) + ".ini",
            """
            [entry]
            instance = %s
            data_centre = dc-%d
            port_file = %s
            bootstrap_operator_digest = %s
            [platform]
            log_address = %s
            list_address = %s
            pool_address = %s
            [peer]
            secret_file = %s
            """
                .formatted(
                    entryName(index),
                    index,
                    children.pathOf(entryName(index) + ".ports"),
                    KeyDigest.of(BOOTSTRAP_KEY),
                    platform,
                    platform,
                    platform,
                    children.pathOf("secret")));
    children.start(entryName(index), EntryMain.class.getName(), List.of("--settings", settings));
  }

  private void registerEntry(int index) throws IOException, InterruptedException {
    entryAddresses.add(children.awaitAddress(entryName(index) + ".ports", "http"));
    String peer = children.awaitAddress(entryName(index) + ".ports", "peer");
    post(
        "/instances/register",
        ("{\"instance\":\"%s\",\"kind\":\"INSTANCE_ENTRY\",\"state\":\"INSTANCE_LIVE\","
                + "\"dataCentre\":\"dc-%d\",\"address\":\"%s\"}")
            .formatted(entryName(index), index, peer));
  }

  private void awaitReady(String address) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/health/ready")).build();
    for (int i = 0; i < MAXIMUM_READY_POLLS; i++) {
      if (client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
        return;
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    throw new IllegalStateException("entry at " + address + " is not ready");
  }

  /** Returns the name of an entry's instance. */
  static String entryName(int index) {
    return "entry-" + index;
  }

  /** Returns the path of the fleet description. */
  static String fleetFile() {
    return Path.of("src", "test", "resources", "process", "fleet.ini").toString();
  }

  /** Sends a JSON document to the platform stand-in and requires the status 200. */
  void post(String path, String body) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + platform + path))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    int status = client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    assertThat("status of " + path, status, is(200));
  }

  /** Runs the operator command line tool against all entries and returns its exit code. */
  int runControlCommand(String key, String operator, List<String> words) {
    List<String> arguments = new ArrayList<>(words);
    entryAddresses.forEach(address -> arguments.addAll(List.of("--entry", address)));
    arguments.addAll(List.of("--operator", operator));
    return ControlMain.run(
        arguments.toArray(String[]::new),
        Map.of(ControlMain.OPERATOR_KEY_VARIABLE, key),
        new PrintStream(PrintStream.nullOutputStream()),
        System.err);
  }

  /** Sends a signal to a process. */
  void sendSignal(String process, String signal) throws IOException, InterruptedException {
    children.sendSignal(process, signal);
  }

  /** Waits for a process to end and returns its exit code. */
  int awaitExit(String process, long seconds) throws InterruptedException {
    return children.awaitExit(process, seconds);
  }

  /**
   * Starts the callers.
   *
   * @param rateDivisor number by which the rates of the traffic settings are divided
   */
  void startCallers(int rateDivisor) throws IOException {
    String traffic =
        RATE.matcher(
                Files.readString(Path.of("src", "test", "resources", "process", "traffic.ini")))
            .replaceAll(rate -> rate.group(1) + Integer.parseInt(rate.group(2)) / rateDivisor);
    children.start(
        "callers",
        LoadMain.class.getName(),
        List.of(
            "traffic",
            "--entries",
            String.join(",", entryAddresses),
            "--settings",
            children.writeFile("traffic.ini", traffic),
            "--seed",
            "7",
            "--report",
            children.pathOf("callers.json").toString()));
  }

  /**
   * Waits for the callers to end and compares their report with that of the runners and workers.
   */
  DemoSummary.Result compareReports() throws IOException, InterruptedException {
    children.awaitExit("callers", 120);
    CallerReport callers =
        parseJson(Files.readString(children.pathOf("callers.json")), CallerReport.newBuilder())
            .build();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + endpoints + "/report")).build();
    String report = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    FleetDescription fleet =
        new FleetDescriptionParser()
            .parse("fleet.ini", Files.readString(Path.of(fleetFile()), StandardCharsets.UTF_8))
            .get();
    return new DemoSummary(callers, parseJson(report, EndpointReport.newBuilder()).build(), fleet)
        .compare();
  }

  private static <B extends Message.Builder> B parseJson(String json, B builder)
      throws IOException {
    JsonFormat.parser().merge(json, builder);
    return builder;
  }

  @Override
  public void close() {
    children.close();
    client.close();
  }
}
