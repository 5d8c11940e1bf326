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
import org.flamingochute.decision.dispatch.SlotPart;
import org.flamingochute.decision.dispatch.TeamWaiting;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.EventQueue;

/** An entry: the queue and the endpoint chooser under test, and what it heard from the others. */
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
  private final Map<TeamId, Integer> startedSinceGossip = new HashMap<>();

  SimulatedEntry(
      EventQueue events,
      RequestQueue<SimulatedRequest> queue,
      Function<DoubleSupplier, EndpointChooser> chooser,
      Map<TeamId, Integer> shares,
      int entryCount,
      Map<InstanceId, SimulatedRunner> runners,
      RequestRecorder recorder) {
    this.events = events;
    this.queue = queue;
    this.chooser = chooser.apply(this::slotPart);
    this.shares = shares;
    this.entryCount = entryCount;
    this.runners = runners;
    this.recorder = recorder;
  }

  void arrive(QueuedRequest<SimulatedRequest> request) {
    OfferResult<SimulatedRequest> result = queue.offer(request, events.wholeNow());
    switch (result) {
      case OfferResult.Queued<SimulatedRequest> queued -> {}
      case OfferResult.QueuedWithEviction<SimulatedRequest> queued ->
          recorder.refused(queued.evicted().request());
      case OfferResult.Refused<SimulatedRequest> refused -> recorder.refused(request);
    }
    dispatch();
  }

  void dispatch() {
    while (queue.size() > 0) {
      Optional<InstanceId> endpoint = chooser.choose(loads(), events.wholeNow());
      if (endpoint.isEmpty()) {
        break;
      }
      Optional<QueuedRequest<SimulatedRequest>> next = queue.poll(events.wholeNow(), team -> true);
      if (next.isEmpty()) {
        break;
      }
      send(next.get(), endpoint.get());
    }
    queue.expire(events.wholeNow()).forEach(shed -> recorder.refused(shed.request()));
  }

  private void send(QueuedRequest<SimulatedRequest> request, InstanceId endpoint) {
    ownInFlight.merge(endpoint, 1, Integer::sum);
    startedSinceGossip.merge(request.team(), 1, Integer::sum);
    double sentMilliseconds = events.now();
    events.after(
        Company.ONE_WAY_MILLISECONDS,
        () ->
            runners
                .get(endpoint)
                .accept(
                    request.content().serviceMilliseconds(),
                    request.deadlineMilliseconds(),
                    end ->
                        events.after(
                            Company.ONE_WAY_MILLISECONDS,
                            () -> receive(request, endpoint, sentMilliseconds, end))));
  }

  private void receive(
      QueuedRequest<SimulatedRequest> request,
      InstanceId endpoint,
      double sentMilliseconds,
      SimulatedRunner.End end) {
    ownInFlight.merge(endpoint, -1, Integer::sum);
    if (end == SimulatedRunner.End.ANSWERED) {
      queue.observeServiceTime(request.team(), events.now() - sentMilliseconds);
      recorder.answered(request, sentMilliseconds, events.now());
    } else {
      recorder.refused(request);
    }
    dispatch();
  }

  private double slotPart() {
    List<TeamWaiting> teams = new ArrayList<>();
    for (Map.Entry<TeamId, Integer> entry : shares.entrySet()) {
      int own = queue.size(entry.getKey());
      int total = own;
      for (Map<TeamId, Integer> waiting : remoteWaiting.values()) {
        total += waiting.getOrDefault(entry.getKey(), 0);
      }
      teams.add(new TeamWaiting(entry.getValue(), own, total));
    }
    return SlotPart.of(teams, entryCount);
  }

  private List<EndpointLoad> loads() {
    List<EndpointLoad> loads = new ArrayList<>();
    for (InstanceId runner : runners.keySet()) {
      int remote = 0;
      for (Map<InstanceId, Integer> counts : remoteInFlight.values()) {
        remote += counts.getOrDefault(runner, 0);
      }
      int own = ownInFlight.getOrDefault(runner, 0);
      loads.add(new EndpointLoad(runner, own, remote, Company.SLOTS, Company.CONNECTIONS));
    }
    return loads;
  }

  /** Sends a heartbeat to the other entries. */
  void gossip(List<SimulatedEntry> entries, boolean endpoints, boolean service) {
    Map<InstanceId, Integer> inFlight = Map.copyOf(ownInFlight);
    Map<TeamId, Integer> started = Map.copyOf(startedSinceGossip);
    Map<TeamId, Integer> waiting = new HashMap<>();
    shares.keySet().forEach(team -> waiting.put(team, queue.size(team)));
    startedSinceGossip.clear();
    for (SimulatedEntry other : entries) {
      if (other == this) {
        continue;
      }
      events.after(
          Company.ONE_WAY_MILLISECONDS,
          () -> {
            if (endpoints) {
              other.remoteInFlight.put(this, inFlight);
              other.remoteWaiting.put(this, waiting);
            }
            if (service) {
              started.forEach(other.queue::observeRemoteService);
            }
            other.dispatch();
          });
    }
  }
}
