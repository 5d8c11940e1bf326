package org.flamingochute.experiment.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.flamingochute.decision.admission.OfferResult;
import org.flamingochute.decision.admission.QueuedRequest;
import org.flamingochute.decision.admission.RequestQueue;
import org.flamingochute.decision.dispatch.EndpointChooser;
import org.flamingochute.decision.dispatch.EndpointLoad;
import org.flamingochute.decision.dispatch.SlotFraction;
import org.flamingochute.decision.dispatch.TeamWaitingCount;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.EventQueue;

/** An entry with the queue and endpoint chooser under test and the load reported by its peers. */
final class SimulatedEntry {

  private final EventQueue events;
  private final RequestQueue<SimulatedRequest> queue;
  private final EndpointChooser chooser;
  private final Map<InstanceId, SimulatedRunner> runners;
  private final RequestRecorder recorder;
  private final Map<InstanceId, Integer> ownInFlight = new HashMap<>();
  private final Map<SimulatedEntry, Map<InstanceId, Integer>> remoteInFlight = new HashMap<>();
  private final Map<TeamId, Integer> shares;
  private final int entryCount;
  private final Map<SimulatedEntry, Map<TeamId, Integer>> remoteWaiting = new HashMap<>();
  private final Map<TeamId, Integer> startedSinceHeartbeat = new HashMap<>();

  SimulatedEntry(
      EventQueue events,
      RequestQueue<SimulatedRequest> queue,
      Function<DoubleSupplier, EndpointChooser> chooserFactory,
      Map<TeamId, Integer> shares,
      int entryCount,
      Map<InstanceId, SimulatedRunner> runners,
      RequestRecorder recorder) {
    this.events = events;
    this.queue = queue;
    this.chooser = chooserFactory.apply(this::slotFraction);
    this.shares = shares;
    this.entryCount = entryCount;
    this.runners = runners;
    this.recorder = recorder;
  }

  void submit(QueuedRequest<SimulatedRequest> request) {
    OfferResult<SimulatedRequest> result = queue.offer(request, events.nowWholeMilliseconds());
    switch (result) {
      case OfferResult.Queued<SimulatedRequest> queued -> {}
      case OfferResult.QueuedWithEviction<SimulatedRequest> queued ->
          recorder.recordRejected(queued.evicted().request());
      case OfferResult.Refused<SimulatedRequest> rejected -> recorder.recordRejected(request);
    }
    dispatch();
  }

  void dispatch() {
    while (queue.size() > 0) {
      Optional<InstanceId> endpoint =
          chooser.choose(endpointLoads(), events.nowWholeMilliseconds());
      if (endpoint.isEmpty()) {
        break;
      }
      Optional<QueuedRequest<SimulatedRequest>> next =
          queue.poll(events.nowWholeMilliseconds(), team -> true);
      if (next.isEmpty()) {
        break;
      }
      sendRequest(next.get(), endpoint.get());
    }
    queue
        .expire(events.nowWholeMilliseconds())
        .forEach(expired -> recorder.recordRejected(expired.request()));
  }

  private void sendRequest(QueuedRequest<SimulatedRequest> request, InstanceId endpoint) {
    ownInFlight.merge(endpoint, 1, Integer::sum);
    startedSinceHeartbeat.merge(request.team(), 1, Integer::sum);
    double sentMilliseconds = events.nowMilliseconds();
    events.schedule(
        Company.ONE_WAY_LATENCY_MILLISECONDS,
        () ->
            runners
                .get(endpoint)
                .accept(
                    request.content().serviceMilliseconds(),
                    request.deadlineMilliseconds(),
                    outcome ->
                        events.schedule(
                            Company.ONE_WAY_LATENCY_MILLISECONDS,
                            () -> receiveResponse(request, endpoint, sentMilliseconds, outcome))));
  }

  private void receiveResponse(
      QueuedRequest<SimulatedRequest> request,
      InstanceId endpoint,
      double sentMilliseconds,
      SimulatedRunner.Outcome outcome) {
    ownInFlight.merge(endpoint, -1, Integer::sum);
    if (outcome == SimulatedRunner.Outcome.ANSWERED) {
      queue.observeServiceTime(request.team(), events.nowMilliseconds() - sentMilliseconds);
      recorder.recordAnswered(request, sentMilliseconds, events.nowMilliseconds());
    } else {
      recorder.recordRejected(request);
    }
    dispatch();
  }

  private double slotFraction() {
    List<TeamWaitingCount> teams = new ArrayList<>();
    for (Map.Entry<TeamId, Integer> entry : shares.entrySet()) {
      int ownWaiting = queue.size(entry.getKey());
      int totalWaiting = ownWaiting;
      for (Map<TeamId, Integer> waiting : remoteWaiting.values()) {
        totalWaiting += waiting.getOrDefault(entry.getKey(), 0);
      }
      teams.add(new TeamWaitingCount(entry.getValue(), ownWaiting, totalWaiting));
    }
    return SlotFraction.of(teams, entryCount);
  }

  private List<EndpointLoad> endpointLoads() {
    List<EndpointLoad> loads = new ArrayList<>();
    for (InstanceId runner : runners.keySet()) {
      int remoteCount = 0;
      for (Map<InstanceId, Integer> counts : remoteInFlight.values()) {
        remoteCount += counts.getOrDefault(runner, 0);
      }
      int ownCount = ownInFlight.getOrDefault(runner, 0);
      loads.add(
          new EndpointLoad(
              runner,
              ownCount,
              remoteCount,
              Company.SLOTS_PER_RUNNER,
              Company.CONNECTIONS_PER_RUNNER));
    }
    return loads;
  }

  /** Sends a heartbeat to all other entries, which dispatch requests when it arrives. */
  void sendHeartbeats(
      List<SimulatedEntry> entries, boolean includesLoad, boolean includesStartedRequests) {
    Map<InstanceId, Integer> inFlight = Map.copyOf(ownInFlight);
    Map<TeamId, Integer> startedRequests = Map.copyOf(startedSinceHeartbeat);
    Map<TeamId, Integer> waitingRequests = new HashMap<>();
    shares.keySet().forEach(team -> waitingRequests.put(team, queue.size(team)));
    startedSinceHeartbeat.clear();
    for (SimulatedEntry peer : entries) {
      if (peer == this) {
        continue;
      }
      events.schedule(
          Company.ONE_WAY_LATENCY_MILLISECONDS,
          () -> {
            if (includesLoad) {
              peer.remoteInFlight.put(this, inFlight);
              peer.remoteWaiting.put(this, waitingRequests);
            }
            if (includesStartedRequests) {
              startedRequests.forEach(peer.queue::observeRemoteService);
            }
            peer.dispatch();
          });
    }
  }
}
