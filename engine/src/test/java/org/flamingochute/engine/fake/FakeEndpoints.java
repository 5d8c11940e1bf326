package org.flamingochute.engine.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.EndpointOutcome;
import org.flamingochute.platform.EndpointRequest;
import org.flamingochute.platform.HeaderField;

/**
 * In-memory runners. They record each execution with its start time; the first segment of a path is
 * the name of the team, for which the maximum number of concurrent requests is recorded.
 */
public final class FakeEndpoints {

  private static final int STATUS_OK = 200;

  private final VirtualTimers clock;
  private final List<Execution> executions = new ArrayList<>();
  private final Map<String, Behaviour> behaviours = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final Map<String, Integer> maximumRunning = new HashMap<>();
  private final Map<String, Integer> runningAt = new HashMap<>();
  private long serviceMilliseconds = 20;

  /** The behaviour of an endpoint. */
  public enum Behaviour {
    /** Runs the request and responds. */
    ANSWER,
    /** Refuses the request as busy. */
    REFUSE,
    /** Accepts no connection. */
    UNREACHABLE,
    /** Runs the request, but the connection is lost immediately. */
    LOSE_ANSWER,
    /** Runs the request until its deadline, without a response. */
    TOO_LATE
  }

  /**
   * One execution of a request at an endpoint.
   *
   * @param address the endpoint
   * @param path path of the request
   * @param requestId id of the attempt
   * @param startMilliseconds start time of the execution
   */
  public record Execution(String address, String path, String requestId, long startMilliseconds) {}

  /** Creates endpoints that respond to every request. */
  public FakeEndpoints(VirtualTimers clock) {
    this.clock = clock;
  }

  /** Sets the duration of requests. */
  public void setServiceMilliseconds(long value) {
    serviceMilliseconds = value;
  }

  /** Sets the behaviour of one endpoint. */
  public void setBehaviour(String address, Behaviour behaviour) {
    behaviours.put(address, behaviour);
  }

  /** Returns all executions. */
  public List<Execution> executions() {
    return executions;
  }

  /** Returns the number of executions of a path. */
  public long executions(String path) {
    return executions.stream().filter(execution -> execution.path().equals(path)).count();
  }

  /** Returns the maximum number of concurrent requests of a team. */
  public int maximumRunning(String team) {
    return maximumRunning.getOrDefault(team, 0);
  }

  /** Returns the number of requests that currently run at an endpoint. */
  public int runningAt(String address) {
    return runningAt.getOrDefault(address, 0);
  }

  /** Returns the client of one process. */
  public EndpointClient client(PausableTimers process) {
    return (address, request) -> send(address, request, process);
  }

  private CompletableFuture<EndpointOutcome> send(
      String address, EndpointRequest request, PausableTimers process) {
    CompletableFuture<EndpointOutcome> reply = new CompletableFuture<>();
    if (process.isDead()) {
      return reply;
    }
    clock.schedule(Duration.ofMillis(1), () -> handleRequest(address, request, process, reply));
    return reply;
  }

  private void handleRequest(
      String address,
      EndpointRequest request,
      PausableTimers process,
      CompletableFuture<EndpointOutcome> reply) {
    switch (behaviours.getOrDefault(address, Behaviour.ANSWER)) {
      case ANSWER -> {
        long runMilliseconds = Math.min(serviceMilliseconds, request.timeoutMilliseconds());
        run(address, request, runMilliseconds);
        EndpointOutcome outcome =
            serviceMilliseconds <= request.timeoutMilliseconds()
                ? echoResponse(request)
                : new EndpointOutcome.Unknown("too late");
        sendReply(process, reply, runMilliseconds, outcome);
      }
      case REFUSE -> sendReply(process, reply, 0, new EndpointOutcome.NotRun("busy", true));
      case UNREACHABLE ->
          sendReply(process, reply, 0, new EndpointOutcome.NotRun("connection refused"));
      case LOSE_ANSWER -> {
        run(address, request, Math.min(serviceMilliseconds, request.timeoutMilliseconds()));
        sendReply(process, reply, 0, new EndpointOutcome.Unknown("connection lost"));
      }
      case TOO_LATE -> {
        run(address, request, request.timeoutMilliseconds());
        sendReply(
            process, reply, request.timeoutMilliseconds(), new EndpointOutcome.Unknown("too late"));
      }
      default -> throw new IllegalStateException("unknown behaviour");
    }
  }

  private void run(String address, EndpointRequest request, long milliseconds) {
    String team = request.path().split("/")[1];
    executions.add(
        new Execution(address, request.path(), request.requestId(), clock.monotonicMilliseconds()));
    int runningCount = running.merge(team, 1, Integer::sum);
    maximumRunning.merge(team, runningCount, Math::max);
    runningAt.merge(address, 1, Integer::sum);
    clock.schedule(
        Duration.ofMillis(milliseconds),
        () -> {
          running.merge(team, -1, Integer::sum);
          runningAt.merge(address, -1, Integer::sum);
        });
  }

  private static EndpointOutcome echoResponse(EndpointRequest request) {
    return new EndpointOutcome.Answered(
        STATUS_OK,
        List.of(new HeaderField("Content-Type", "text/plain")),
        request.path().getBytes());
  }

  private void sendReply(
      PausableTimers process,
      CompletableFuture<EndpointOutcome> reply,
      long milliseconds,
      EndpointOutcome outcome) {
    clock.schedule(
        Duration.ofMillis(milliseconds + 1),
        () -> process.runOrDefer(() -> reply.complete(outcome)));
  }
}
