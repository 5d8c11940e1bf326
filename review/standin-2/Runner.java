package cases;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * One runner, as the pages describe it. The text of a job says how its tasks behave:
 * {@code work_ms=800 cpu=1000 lasting=1 gang=4}.
 */
final class Runner {
  private static final long MAXIMUM_HOLD_MILLISECONDS = 10_000;
  private static final long STARTUP_MILLISECONDS = 300;
  private static final long MEMORY_MEBIBYTES = 65_536;
  private static final long GANG_TIMEOUT_MILLISECONDS = 3_000;
  private static final int LISTED_ENDS = 500;

  private record Run(
      int attempt, long startedAt, long workMilliseconds, long cpu, boolean lasts, int gang) {
    private int percent(long now) {
      long total = lasts ? STARTUP_MILLISECONDS : Math.max(1, workMilliseconds);
      return (int) Math.min(lasts ? 100 : 99, 100 * (now - startedAt) / total);
    }
  }

  private record End(long number, String task, int attempt, String how) {}

  final String id;
  final String machine;
  private final String service;
  final String zone;
  final long capacity;
  private final Store store;
  private final Gangs gangs;
  private final Events record;
  private final HttpServer server;
  private final long born = System.currentTimeMillis();
  private final long clockStart = System.nanoTime();
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long highestToken;
  private long leaseEnd;
  private long nextNumber = 1;
  private long sequence;
  private volatile String heldJob = "";
  private volatile CompletableFuture<HeldStart> heldStart;
  private boolean grey;
  private boolean terminated;

  Runner(
      String id,
      String machine,
      String service,
      String zone,
      long capacity,
      Store store,
      Gangs gangs,
      Events record)
      throws IOException {
    this.id = id;
    this.machine = machine;
    this.service = service;
    this.zone = zone;
    this.capacity = capacity;
    this.store = store;
    this.gangs = gangs;
    this.record = record;
    server = Http.serve(this::handle);
  }

  /** Creates the next life of a runner that has crashed, under its id and address. */
  Runner(Runner former) throws IOException {
    id = former.id;
    machine = former.machine;
    service = former.service;
    zone = former.zone;
    capacity = former.capacity;
    store = former.store;
    gangs = former.gangs;
    record = former.record;
    server = Http.serve(this::handle, former.server.getAddress().getPort());
  }

  /** A start that was sent to a runner and is still on its way. */
  record HeldStart(Runner runner, Map<String, Object> body) {}

  /** Holds the first start of a job back; the runner gets it later, if at all. */
  void holdStart(String job, CompletableFuture<HeldStart> held) {
    heldJob = job;
    heldStart = held;
  }

  private boolean isHeldBack(String path, Map<String, Object> body) {
    return path.equals("/run-start")
        && Json.text(body, "task").startsWith(heldJob + ".")
        && heldStart.complete(new HeldStart(this, body));
  }

  /** Carries out a start that was held back; returns the reason of a refusal, or an empty text. */
  String executeLate(HeldStart held) {
    return start(held.body());
  }

  /** Ends everything that runs here; the runner answers no more, and its entry stays. */
  synchronized void crash() {
    terminated = true;
    running.clear();
    server.stop(0);
    record.add("runner %s crashed", id);
  }

  private long clock() {
    return (System.nanoTime() - clockStart) / 1_000_000;
  }

  String rack() {
    return "rack-" + machine;
  }

  /** Ends everything that runs here; the runner answers no more. */
  synchronized void terminate() {
    for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
      end(entry.getKey(), entry.getValue(), "terminated");
    }
    terminated = true;
    server.stop(0);
    store.put("keyed.servers", id, "");
  }

  /** Makes the runner fail all that it starts, or ends that. */
  synchronized void setGrey(boolean isGrey) {
    grey = isGrey;
    record.add("runner %s grey=%s", id, isGrey);
  }

  /** Writes the runner's entry. */
  synchronized void writeEntry() {
    if (terminated) {
      return;
    }
    sequence++;
    store.put(
        "keyed.servers",
        id,
        ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"1\",\"slots\":8,"
                + "\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":%d,\"born\":%d,"
                + "\"capacity\":{\"cpu\":%d,\"mem_mb\":%d,\"gpus\":0},"
                + "\"labels\":[\"a\",\"%s\"]}")
            .formatted(
                service,
                Http.addressOf(server),
                zone,
                sequence,
                born,
                capacity,
                MEMORY_MEBIBYTES,
                rack()));
  }

  String address() {
    return Http.addressOf(server);
  }

  /** Returns the runner's machine as an entry of the list of machines. */
  String machineEntry(String state) {
    return ("{\"machine\":\"%s\",\"pool\":\"%s\",\"state\":\"%s\",\"zone\":\"%s\","
            + "\"labels\":[\"a\"],\"capacity\":{\"cpu\":%d,\"mem_mb\":%d,\"gpus\":0},"
            + "\"id\":\"%s\"}")
        .formatted(machine, service, state, zone, capacity, MEMORY_MEBIBYTES, id);
  }

  /** Ends the runs that are due. */
  synchronized void advance() {
    long now = clock();
    for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
      Run run = entry.getValue();
      boolean isWorking = run.gang() == 0 || gangs.isComplete(entry.getKey(), run.attempt());
      boolean isAlone = !isWorking && now - run.startedAt() >= GANG_TIMEOUT_MILLISECONDS;
      if (isAlone) {
        end(entry.getKey(), run, "alone");
      } else if (isWorking && !run.lasts() && now - run.startedAt() >= run.workMilliseconds()) {
        end(entry.getKey(), run, "done");
      } else if (now >= leaseEnd) {
        end(entry.getKey(), run, "lapsed");
      }
    }
  }

  private void end(String task, Run run, String how) {
    running.remove(task, run);
    highestEnded.merge(task, run.attempt(), Math::max);
    ends.add(new End(nextNumber++, task, run.attempt(), how));
    record.add("end task=%s attempt=%d runner=%s how=%s", task, run.attempt(), id, how);
    notifyAll();
    if (run.gang() > 0) {
      gangs.onEnded(task, run.attempt(), how);
    }
  }

  /** Ends the run of a member whose gang has ended. */
  synchronized void endMember(String task, int attempt, String how) {
    Run run = running.get(task);
    if (run != null && run.attempt() == attempt) {
      end(task, run, how);
    }
  }

  synchronized boolean isRunning(String task) {
    return running.containsKey(task);
  }

  /** Returns whether a task of the job has ended here. */
  synchronized boolean hasRun(String job) {
    return highestEnded.keySet().stream().anyMatch(task -> task.startsWith(job));
  }

  synchronized List<String> tasks() {
    return List.copyOf(running.keySet());
  }

  synchronized long usedCapacity() {
    return running.values().stream().mapToLong(Run::cpu).sum();
  }

  synchronized boolean isGrey() {
    return grey;
  }

  private void handle(HttpExchange exchange) throws IOException {
    String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
    Map<String, Object> body =
        Json.object(
            new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
    if (target != null && !target.equals(id)) {
      Http.answer(exchange, 421, "");
      return;
    }
    String path = exchange.getRequestURI().getPath();
    if (isHeldBack(path, body)) {
      record.add("start on its way to %s is held back: %s", id, Json.text(body, "task"));
      Http.staySilent(exchange);
      return;
    }
    switch (path) {
      case "/hold" -> Http.answer(exchange, holdStatus(body), answerOfLastHold.get());
      case "/run-start", "/run-stop", "/pace" -> {
        String reason = path.equals("/run-start") ? start(body) : stop(path, body);
        Http.answer(
            exchange,
            reason.isEmpty() ? 200 : 409,
            reason.isEmpty()
                ? "{\"clock_ms\":%d,\"born\":%d}".formatted(clock(), born)
                : "{\"clock_ms\":%d,\"born\":%d,\"reason\":\"%s\"}"
                    .formatted(clock(), born, reason));
      }
      default -> Http.answer(exchange, 404, "");
    }
  }

  private final ThreadLocal<String> answerOfLastHold = new ThreadLocal<>();

  private synchronized int holdStatus(Map<String, Object> body) {
    if (Json.number(body, "fencing_token") < highestToken) {
      answerOfLastHold.set(
          "{\"clock_ms\":%d,\"born\":%d,\"reason\":\"fence\"}".formatted(clock(), born));
      return 409;
    }
    highestToken = Json.number(body, "fencing_token");
    extendLease(Json.number(body, "deadline_ms"));
    long acknowledged = Json.number(body, "ack_cursor");
    ends.removeIf(end -> end.number() <= acknowledged);
    long waitUntil = clock() + Json.number(body, "wait_ms");
    while (ends.isEmpty() && clock() < waitUntil) {
      try {
        wait(Math.max(1, waitUntil - clock()));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    answerOfLastHold.set(lists());
    return 200;
  }

  private void extendLease(long deadline) {
    leaseEnd = Math.max(leaseEnd, Math.min(deadline, clock() + MAXIMUM_HOLD_MILLISECONDS));
  }

  private String lists() {
    StringBuilder rows = new StringBuilder();
    long now = clock();
    running.forEach(
        (task, run) ->
            rows.append(rows.isEmpty() ? "" : ",")
                .append(
                    "[\"%s\",%d,\"\",%d,%d]"
                        .formatted(task, run.attempt(), run.percent(now), run.cpu())));
    StringBuilder endRows = new StringBuilder();
    for (End end : ends.subList(0, Math.min(LISTED_ENDS, ends.size()))) {
      endRows
          .append(endRows.isEmpty() ? "" : ",")
          .append(
              "[%d,\"%s\",%d,\"%s\",\"\"]"
                  .formatted(end.number(), end.task(), end.attempt(), end.how()));
    }
    return "{\"clock_ms\":%d,\"born\":%d,\"running\":[%s],\"finished\":[%s]}"
        .formatted(now, born, rows, endRows);
  }

  private synchronized String start(Map<String, Object> body) {
    String task = Json.text(body, "task");
    int attempt = (int) Json.number(body, "attempt");
    if (Json.number(body, "fencing_token") < highestToken) {
      return "fence";
    }
    highestToken = Json.number(body, "fencing_token");
    long deadline = Json.number(body, "deadline_ms");
    if (deadline <= clock()) {
      return "late";
    }
    extendLease(deadline);
    Run present = running.get(task);
    if (present != null) {
      return present.attempt() == attempt ? "" : "old";
    }
    if (attempt <= highestEnded.getOrDefault(task, 0)) {
      return "old";
    }
    Map<String, String> spec = new HashMap<>();
    for (String part : Json.text(body, "spec").split(" ")) {
      String[] pair = part.split("=", 2);
      spec.put(pair[0], pair[1]);
    }
    long cpu = Long.parseLong(spec.getOrDefault("cpu", "0"));
    if (usedCapacity() + cpu > capacity) {
      return "room";
    }
    Run run =
        new Run(
            attempt,
            clock(),
            Long.parseLong(spec.getOrDefault("work_ms", "0")),
            cpu,
            spec.containsKey("lasting"),
            Integer.parseInt(spec.getOrDefault("gang", "0")));
    running.put(task, run);
    record.add("start task=%s attempt=%d runner=%s", task, attempt, id);
    if (grey) {
      end(task, run, "failed");
    } else if (run.gang() > 0) {
      gangs.onStarted(this, task, attempt, run.gang());
    }
    return "";
  }

  private synchronized String stop(String path, Map<String, Object> body) {
    if (Json.number(body, "fencing_token") < highestToken) {
      return "fence";
    }
    highestToken = Json.number(body, "fencing_token");
    if (path.equals("/pace")) {
      return "";
    }
    String task = Json.text(body, "task");
    int attempt = (int) Json.number(body, "attempt");
    Run run = running.get(task);
    if (run != null && run.attempt() <= attempt) {
      end(task, run, "stopped");
    }
    highestEnded.merge(task, attempt, Math::max);
    return "";
  }
}
