package org.flamingochute.standin;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.EndpointOutcome;
import org.flamingochute.platform.EndpointRequest;

/** Reaches stand-in runners in the same process by their addresses. */
public final class InMemoryEndpointClient implements EndpointClient {

  private final Map<String, StandInRunner> runners = new ConcurrentHashMap<>();

  /** Makes a runner reachable by an address. */
  public void add(String address, StandInRunner runner) {
    runners.put(address, runner);
  }

  /** Makes an address unreachable. */
  public void remove(String address) {
    runners.remove(address);
  }

  @Override
  public CompletableFuture<EndpointOutcome> send(String address, EndpointRequest request) {
    StandInRunner runner = runners.get(address);
    if (runner == null) {
      return CompletableFuture.completedFuture(
          new EndpointOutcome.NotRun("no connection to " + address));
    }
    return runner.submit(request).thenApply(reply -> outcomeOf(request, reply));
  }

  private static EndpointOutcome outcomeOf(EndpointRequest request, RunnerReply reply) {
    return switch (reply) {
      case RunnerReply.Refused refused -> new EndpointOutcome.NotRun(refused.detail(), true);
      case RunnerReply.Whole whole -> ownAnswer(request, whole.answer());
      case RunnerReply.Repeated repeated -> ownAnswer(request, repeated.answer());
      case RunnerReply.BrokenOff brokenOff -> new EndpointOutcome.Unknown("the answer is short");
      case RunnerReply.Cut cut -> new EndpointOutcome.Unknown(cut.detail());
    };
  }

  private static EndpointOutcome ownAnswer(
      EndpointRequest request, EndpointOutcome.Answered answer) {
    String requestId = RequestTags.find(answer.headers(), RequestTags.REQUEST_ID, "");
    if (!requestId.equals(request.requestId())) {
      return new EndpointOutcome.Unknown("the answer belongs to request " + requestId);
    }
    return answer;
  }
}
