package org.flamingochute.testsuite.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import java.util.Optional;
import org.flamingochute.platform.standin.PlatformServer;

/**
 * The place of a worker: its incarnations have one id and one address, which belongs to a proxy,
 * and report to the store as long as they respond.
 */
final class WorkerHost {
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);
  private static final int MAXIMUM_SILENT_REPORTS = 3;
  static final int DATA_CENTRES = 3;

  /** Workers have one of this many rates of their clocks, each slower than the one before. */
  private static final int SLOW_CLOCKS = 3;

  private static final double SLOWNESS = 0.01;
  private static final long MEMORY_MEBIBYTES = 65_536;
  private static final long POLL_MILLISECONDS = 10;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String id;
  private final int number;
  private final Path folder;
  private final PlatformServer platform;
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<RunEvent> kills = new ArrayList<>();
  private int incarnations;
  private long reports;
  private int silentReports;
  private String address;
  private FaultProxy proxy;
  private SoakProcess process;
  private SoakProcess next;
  private volatile boolean isCutFromStore;

  /** What the address of a worker does between two incarnations. */
  enum Gap {
    /** Connections are reset and refused. */
    REFUSES,
    /** Served connections are reset; others wait for the next incarnation. */
    WAITS,
    /** Served connections stay without a response for good; others wait. */
    WAITS_SILENTLY,
    /** Served connections with a call in progress stay without a response, idle ones are reset. */
    RESETS_IDLE
  }

  WorkerHost(int number, Path folder, PlatformServer platform) {
    this.id = "worker-" + number;
    this.number = number;
    this.folder = folder;
    this.platform = platform;
  }

  /** Launches the process of the next incarnation, which is born in {@link #start}. */
  synchronized void prepare() throws IOException {
    if (next != null) {
      return;
    }
    String name = nameOf(incarnations + 1);
    next =
        SoakProcess.startJava(
            folder.resolve(name + ".log"),
            SoakWorkerMain.class,
            List.of(
                id,
                eventFile(incarnations + 1).toString(),
                folder.resolve(name + ".ports").toString(),
                String.valueOf(1 - number % SLOW_CLOCKS * SLOWNESS)));
  }

  private String nameOf(int incarnation) {
    return id + "-start-" + incarnation;
  }

  /** Starts a new incarnation and opens its address. */
  synchronized void start() throws IOException, InterruptedException {
    prepare();
    incarnations++;
    process = next;
    next = null;
    process.sendLine();
    Path portFile = folder.resolve(nameOf(incarnations) + ".ports");
    while (!Files.exists(portFile) || !Files.readString(portFile).endsWith("\n")) {
      if (!process.isAlive()) {
        throw new IOException("worker has not started: " + process.log());
      }
      Thread.sleep(POLL_MILLISECONDS);
    }
    address = Files.readString(portFile).trim().replaceFirst("http=", "");
    if (proxy == null) {
      proxy = new FaultProxy(address);
    } else {
      proxy.setServer(address);
      proxy.reopen();
    }
  }

  private Path eventFile(int incarnation) {
    return folder.resolve(nameOf(incarnation) + ".events");
  }

  /** Kills the incarnation; connections to its address are refused until the next start. */
  void kill() throws IOException, InterruptedException {
    kill(Gap.REFUSES);
  }

  /** Kills the incarnation. */
  synchronized void kill(Gap gap) throws IOException, InterruptedException {
    if (!process.isAlive()) {
      return;
    }
    if (gap != Gap.REFUSES) {
      proxy.suspend(gap != Gap.WAITS, gap == Gap.WAITS_SILENTLY);
    }
    kills.add(killEvent());
    process.kill();
    if (gap == Gap.REFUSES) {
      proxy.refuse();
    }
  }

  /** Cuts the worker off from the nodes, and from the store if told so, until {@link #mend}. */
  void cut(boolean alsoFromStore) {
    isCutFromStore = alsoFromStore;
    proxy.cut();
  }

  void mend() {
    isCutFromStore = false;
    proxy.mend();
  }

  private RunEvent killEvent() {
    return new RunEvent(
        System.currentTimeMillis(),
        id,
        incarnations,
        RunEvent.Kind.KILLED,
        "",
        0,
        false,
        0,
        "",
        "",
        0);
  }

  synchronized boolean isAlive() {
    return process.isAlive();
  }

  synchronized void signal(String name) throws IOException, InterruptedException {
    process.signal(name);
  }

  String id() {
    return id;
  }

  String dataCentre() {
    return "dc-" + number % DATA_CENTRES;
  }

  FaultProxy proxy() {
    return proxy;
  }

  /** Reports the worker if it responds; removes its entry after several silent reports. */
  void report() throws IOException, InterruptedException {
    Optional<JsonNode> answer = isCutFromStore ? Optional.empty() : fetchReport();
    if (answer.isEmpty()) {
      silentReports++;
      if (silentReports == MAXIMUM_SILENT_REPORTS) {
        platform.writeWorkerReport(id, "");
      }
      return;
    }
    silentReports = 0;
    reports++;
    ObjectNode report = MAPPER.createObjectNode();
    report.put("service", "workshop").put("address", proxy.hostAndPort());
    report.put("zone", dataCentre()).put("version", "1").put("slots", 8);
    report.put("state", "ready").put("cold_left_ms", 0).put("seq_no", reports);
    report.put("born", answer.get().path("born").asLong());
    report.putArray("labels").add("a").add("rack-" + number % DATA_CENTRES);
    report
        .putObject("capacity")
        .put("cpu", SoakWorker.CAPACITY_MILLICORES)
        .put("mem_mb", MEMORY_MEBIBYTES)
        .put("gpus", 0);
    platform.writeWorkerReport(id, report.toString());
  }

  private Optional<JsonNode> fetchReport() throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/report"))
            .timeout(REPORT_TIMEOUT)
            .build();
    try {
      return Optional.of(
          MAPPER.readTree(http.send(request, HttpResponse.BodyHandlers.ofString()).body()));
    } catch (IOException e) {
      // A worker that does not respond sends no report either.
      return Optional.empty();
    }
  }

  /** Returns the events of all incarnations, with the kills. */
  List<RunEvent> events() throws IOException {
    List<RunEvent> events = new ArrayList<>();
    for (int i = 1; i <= incarnations; i++) {
      List<RunEvent> ofIncarnation =
          Files.exists(eventFile(i)) ? RunEvent.readFile(eventFile(i)) : List.of();
      events.addAll(ofIncarnation);
      if (ofIncarnation.isEmpty()) {
        continue;
      }
      for (RunEvent kill : kills) {
        if (kill.born() == i) {
          events.add(kill.withBorn(ofIncarnation.get(0).born()));
        }
      }
    }
    return events;
  }

  void close() throws IOException, InterruptedException {
    if (process != null) {
      process.kill();
    }
    if (next != null) {
      next.kill();
    }
    if (proxy != null) {
      proxy.close();
    }
  }
}
