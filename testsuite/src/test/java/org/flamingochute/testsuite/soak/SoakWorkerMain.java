package org.flamingochute.testsuite.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.flamingochute.standin.http.HttpListeners;
import org.flamingochute.standin.http.PortFile;

/**
 * A worker of the soak as a process: {@code SoakWorkerMain ID EVENT_FILE PORT_FILE CLOCK_RATE}. The
 * incarnation is born when a byte arrives at the standard input.
 */
public final class SoakWorkerMain {
  private static final int MAXIMUM_BODY_BYTES = 1 << 20;
  private static final int MAXIMUM_FINISHED = 500;
  private static final long TICK_MILLISECONDS = 20;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int MISDIRECTED = 421;
  private static final HttpHeader TARGET = HttpHeaders.of("X-Target-Instance");
  private static final HttpHeader LATE = HttpHeaders.of(FaultProxy.LATE_HEADER);
  private static final HttpHeader RECEIVED = HttpHeaders.of(FaultProxy.RECEIVED_HEADER);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String id;
  private final long born = System.currentTimeMillis();
  private final double clockRate;
  private final SoakWorker worker;
  private Reactor reactor;

  private SoakWorkerMain(String id, Path eventFile, double clockRate) throws Exception {
    this.id = id;
    this.clockRate = clockRate;
    this.worker =
        new SoakWorker(
            id,
            born,
            clockRate,
            Files.newOutputStream(eventFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
  }

  /** Runs the worker until the process is killed. */
  public static void main(String[] arguments) throws Exception {
    MAPPER.readTree("{}");
    if (System.in.read() < 0) {
      return;
    }
    SoakWorkerMain main =
        new SoakWorkerMain(arguments[0], Path.of(arguments[1]), Double.parseDouble(arguments[3]));
    HttpListeners listeners = new HttpListeners(1);
    String address = listeners.listen("127.0.0.1:0", main::routes);
    listeners.group().next().execute(main::tick);
    PortFile.write(arguments[2], address);
    new CountDownLatch(1).await();
  }

  private long clock() {
    return (long) ((System.currentTimeMillis() - born) * clockRate);
  }

  private void tick() {
    worker.advance(clock());
    reactor.delay(TICK_MILLISECONDS, this::tick);
  }

  private AsyncServlet routes(Reactor serverReactor) {
    reactor = serverReactor;
    return RoutingServlet.builder(serverReactor)
        .with(HttpMethod.GET, "/report", request -> json(OK, answer()))
        .with(HttpMethod.POST, "/hold", request -> handle(request, this::hold))
        .with(HttpMethod.POST, "/run-start", request -> handle(request, this::start))
        .with(HttpMethod.POST, "/run-stop", request -> handle(request, this::stop))
        .with(
            HttpMethod.POST,
            "/pace",
            request -> handle(request, (body, passage) -> json(OK, answer())))
        .build();
  }

  /**
   * How a request came here.
   *
   * @param late whether it was delivered after its sender had given up
   * @param sentAt time at which it left its sender, in milliseconds since the epoch
   */
  private record Passage(boolean late, long sentAt) {}

  private interface Call {
    Promise<HttpResponse> run(JsonNode body, Passage passage);
  }

  private Promise<HttpResponse> handle(HttpRequest request, Call call) {
    String target = request.getHeader(TARGET);
    if (target != null && !target.equals(id)) {
      return json(MISDIRECTED, answer());
    }
    String received = request.getHeader(RECEIVED);
    Passage passage =
        new Passage(
            request.getHeader(LATE) != null,
            received == null ? System.currentTimeMillis() : Long.parseLong(received));
    return request
        .loadBody(MAXIMUM_BODY_BYTES)
        .then(body -> call.run(MAPPER.readTree(body.getString(StandardCharsets.UTF_8)), passage));
  }

  private Promise<HttpResponse> start(JsonNode body, Passage passage) {
    return toResponse(
        worker.start(
            order(body, passage),
            body.path("spec").asText(),
            body.path("last_checkpoint").asText(""),
            body.path("deadline_ms").asLong(),
            clock()));
  }

  private Promise<HttpResponse> stop(JsonNode body, Passage passage) {
    return toResponse(worker.stop(order(body, passage), clock()));
  }

  private static SoakWorker.Order order(JsonNode body, Passage passage) {
    return new SoakWorker.Order(
        body.path("task").asText(),
        body.path("attempt").asInt(),
        body.path("fencing_token").asLong(),
        passage.late(),
        passage.sentAt());
  }

  private Promise<HttpResponse> hold(JsonNode body, Passage passage) {
    Optional<String> refusal =
        worker.hold(
            body.path("fencing_token").asLong(),
            body.path("deadline_ms").asLong(),
            body.path("ack_cursor").asLong(),
            clock());
    if (refusal.isPresent()) {
      return toResponse(refusal);
    }
    SettablePromise<HttpResponse> response = new SettablePromise<>();
    respondWithLists(clock() + body.path("wait_ms").asLong(), response);
    return response;
  }

  private void respondWithLists(long waitEnd, SettablePromise<HttpResponse> response) {
    worker.advance(clock());
    if (worker.finished().isEmpty() && clock() < waitEnd) {
      reactor.delay(TICK_MILLISECONDS, () -> respondWithLists(waitEnd, response));
      return;
    }
    json(OK, lists()).subscribe(response::set);
  }

  private ObjectNode lists() {
    ObjectNode body = answer();
    ArrayNode running = body.putArray("running");
    for (Map.Entry<String, SoakWorker.Run> entry : worker.running().entrySet()) {
      SoakWorker.Run run = entry.getValue();
      running
          .addArray()
          .add(entry.getKey())
          .add(run.attempt())
          .add(run.saved())
          .add(run.percent(clock()))
          .add(0);
    }
    ArrayNode finished = body.putArray("finished");
    worker.finished().stream()
        .limit(MAXIMUM_FINISHED)
        .forEach(
            end ->
                finished
                    .addArray()
                    .add(end.number())
                    .add(end.task())
                    .add(end.attempt())
                    .add(end.how())
                    .add(end.saved()));
    return body;
  }

  private ObjectNode answer() {
    return MAPPER.createObjectNode().put("clock_ms", clock()).put("born", born);
  }

  private Promise<HttpResponse> toResponse(Optional<String> refusal) {
    return refusal.isPresent()
        ? json(CONFLICT, answer().put("reason", refusal.get()))
        : json(OK, answer());
  }

  private static Promise<HttpResponse> json(int status, ObjectNode body) {
    return HttpResponse.ofCode(status)
        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .withBody(body.toString().getBytes(StandardCharsets.UTF_8))
        .toPromise();
  }
}
