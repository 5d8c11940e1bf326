package org.flamingochute.standin;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.EndpointOutcome;
import org.flamingochute.platform.EndpointRequest;

/** An endpoint client that calls stand-in runners in the same process by address. */
public final class InMemoryEndpointClient implements EndpointClient {

  private final Map<String, StandInRunner> runners = new ConcurrentHashMap<>();

  /** Makes a runner reachable at an address. */
  public void register(String address, StandInRunner runner) {
    runners.put(address, runner);
  }

  /** Makes an address unreachable. */
  public void unregister(String address) {
    runners.remove(address);
  }

  @Override
  public CompletableFuture<EndpointOutcome> send(String address, EndpointRequest request) {
    StandInRunner runner = runners.get(address);
    if (runner == null) {
      return CompletableFuture.completedFuture(
          new EndpointOutcome.NotRun("no connection to " + address));
    }
    return runner.submit(request).thenApply(reply -> toOutcome(request, reply));
  }

  private static EndpointOutcome toOutcome(EndpointRequest request, RunnerReply reply) {
    return switch (reply) {
      case RunnerReply.Refused refused -> new EndpointOutcome.NotRun(refused.detail(), true);
      case RunnerReply.Complete complete -> checkRequestId(request, complete.response());
      case RunnerReply.Duplicated duplicated -> checkRequestId(request, duplicated.response());
      case RunnerReply.Truncated truncated ->
          new EndpointOutcome.Unknown("the response is truncated");
      case RunnerReply.ConnectionClosed closed -> new EndpointOutcome.Unknown(closed.detail());
    };
  }

  private static EndpointOutcome checkRequestId(
      EndpointRequest request, EndpointOutcome.Answered response) {
    String requestId = StandInHeaders.find(response.headers(), StandInHeaders.REQUEST_ID, "");
    if (!requestId.equals(request.requestId())) {
      return new EndpointOutcome.Unknown("the response belongs to request " + requestId);
    }
    return response;
  }
}
