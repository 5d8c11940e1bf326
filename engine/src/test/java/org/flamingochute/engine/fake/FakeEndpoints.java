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
 * Runners in memory. Each notes what it ran and when; the first part of a path names the team, so
 * that the most that ran at once is known for each team.
 */
public final class FakeEndpoints {

  private static final int OK = 200;

  private final VirtualTimers clock;
  private final List<Execution> executions = new ArrayList<>();
  private final Map<String, Behaviour> behaviours = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final Map<String, Integer> mostRunning = new HashMap<>();
  private final Map<String, Integer> runningAt = new HashMap<>();
  private long serviceMilliseconds = 20;

  /** How an endpoint answers. */
  public enum Behaviour {
    /** Runs the request and answers. */
    ANSWER,
    /** Refuses to run. */
    REFUSE,
    /** Accepts no connection. */
    UNREACHABLE,
    /** Runs the request, and the answer is lost at once. */
    LOSE_ANSWER,
    /** Runs the request for longer than its deadline. */
    TOO_LATE
  }

  /**
   * One request that an endpoint ran.
   *
   * @param address the endpoint
   * @param path path of the request
   * @param requestId id of the dispatch
   * @param beganMilliseconds when it began
   */
  public record Execution(String address, String path, String requestId, long beganMilliseconds) {}

  /** Creates endpoints that answer. */
  public FakeEndpoints(VirtualTimers clock) {
    this.clock = clock;
  }

  /** Sets how long a request runs. */
  public void setServiceMilliseconds(long value) {
    serviceMilliseconds = value;
  }

  /** Sets how one endpoint answers. */
  public void behave(String address, Behaviour behaviour) {
    behaviours.put(address, behaviour);
  }

  /** Returns all that ran. */
  public List<Execution> executions() {
    return executions;
  }

  /** Returns how often a path ran. */
  public long executions(String path) {
    return executions.stream().filter(one -> one.path().equals(path)).count();
  }

  /** Returns the most requests of a team that ran at once. */
  public int mostRunning(String team) {
    return mostRunning.getOrDefault(team, 0);
  }

  /** Returns the requests that run at an endpoint now. */
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
    clock.schedule(Duration.ofMillis(1), () -> arrive(address, request, process, reply));
    return reply;
  }

  private void arrive(
      String address,
      EndpointRequest request,
      PausableTimers process,
      CompletableFuture<EndpointOutcome> reply) {
    switch (behaviours.getOrDefault(address, Behaviour.ANSWER)) {
      case ANSWER -> {
        long time = Math.min(serviceMilliseconds, request.timeoutMilliseconds());
        run(address, request, time);
        EndpointOutcome outcome =
            serviceMilliseconds <= request.timeoutMilliseconds()
                ? answered(request)
                : new EndpointOutcome.Unknown("too late");
        answer(process, reply, time, outcome);
      }
      case REFUSE -> answer(process, reply, 0, new EndpointOutcome.NotRun("busy", true));
      case UNREACHABLE ->
          answer(process, reply, 0, new EndpointOutcome.NotRun("connection refused"));
      case LOSE_ANSWER -> {
        run(address, request, Math.min(serviceMilliseconds, request.timeoutMilliseconds()));
        answer(process, reply, 0, new EndpointOutcome.Unknown("connection lost"));
      }
      case TOO_LATE -> {
        run(address, request, request.timeoutMilliseconds());
        answer(
            process, reply, request.timeoutMilliseconds(), new EndpointOutcome.Unknown("too late"));
      }
      default -> throw new IllegalStateException("unknown behaviour");
    }
  }

  private void run(String address, EndpointRequest request, long milliseconds) {
    String team = request.path().split("/")[1];
    executions.add(
        new Execution(address, request.path(), request.requestId(), clock.monotonicMilliseconds()));
    int now = running.merge(team, 1, Integer::sum);
    mostRunning.merge(team, now, Math::max);
    runningAt.merge(address, 1, Integer::sum);
    clock.schedule(
        Duration.ofMillis(milliseconds),
        () -> {
          running.merge(team, -1, Integer::sum);
          runningAt.merge(address, -1, Integer::sum);
        });
  }

  private static EndpointOutcome answered(EndpointRequest request) {
    return new EndpointOutcome.Answered(
        OK, List.of(new HeaderField("Content-Type", "text/plain")), request.path().getBytes());
  }

  private void answer(
      PausableTimers process,
      CompletableFuture<EndpointOutcome> reply,
      long milliseconds,
      EndpointOutcome outcome) {
    clock.schedule(
        Duration.ofMillis(milliseconds + 1),
        () -> process.runOrHold(() -> reply.complete(outcome)));
  }
}
