package org.flamingochute.experiment.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.admission.QueuedRequest;
import org.flamingochute.decision.admission.ShareSource;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.EventQueue;
import org.flamingochute.experiment.model.RandomSampler;

/** Simulates one service under load with the decision code of one policy. */
final class RequestSimulation {

  private static final double EXPIRY_INTERVAL_MILLISECONDS = 20;

  private final RequestScenario scenario;
  private final RandomSampler sampler;
  private final EventQueue events = new EventQueue();
  private final RequestRecorder recorder = new RequestRecorder();
  private final Map<InstanceId, SimulatedRunner> runners = new LinkedHashMap<>();
  private final List<SimulatedEntry> entries = new ArrayList<>();

  /** Creates a simulation and schedules its first events. */
  RequestSimulation(RequestScenario scenario, RequestPolicy policy, long seed) {
    this.scenario = scenario;
    this.sampler = new RandomSampler(seed);
    for (int i = 0; i < scenario.runnerCount(); i++) {
      runners.put(new InstanceId("runner-" + i), new SimulatedRunner(events));
    }
    Map<TeamId, Integer> shares = new HashMap<>();
    scenario.teamLoads().forEach(load -> shares.put(load.team(), load.share()));
    ShareSource shareSource = shares::get;
    for (int i = 0; i < scenario.entryCount(); i++) {
      RandomSampler entrySampler = new RandomSampler(seed * 31 + i + 1);
      entries.add(
          new SimulatedEntry(
              events,
              policy.queueFactory().apply(shareSource),
              slotFraction ->
                  policy
                      .chooserFactory()
                      .create(entrySampler.random(), scenario.entryCount(), slotFraction),
              shares,
              scenario.entryCount(),
              runners,
              recorder));
    }
    for (int i = 0; i < scenario.entryCount(); i++) {
      SimulatedEntry entry = entries.get(i);
      events.schedule(
          scenario.heartbeatIntervalMilliseconds() * i / scenario.entryCount(),
          () ->
              events.schedulePeriodically(
                  scenario.heartbeatIntervalMilliseconds(),
                  () ->
                      entry.sendHeartbeats(
                          entries, policy.gossipsLoad(), policy.gossipsStartedRequests())));
      events.schedulePeriodically(EXPIRY_INTERVAL_MILLISECONDS, entry::dispatch);
    }
    scenario.teamLoads().forEach(this::scheduleArrival);
  }

  private void scheduleArrival(TeamLoad load) {
    events.schedule(
        sampler.nextExponential(1000 / load.requestsPerSecond()),
        () -> {
          if (load.isActive(events.nowMilliseconds())) {
            submitRequest(load);
          }
          scheduleArrival(load);
        });
  }

  private void submitRequest(TeamLoad load) {
    double serviceMilliseconds =
        sampler.nextLogNormal(scenario.meanServiceMilliseconds(), scenario.serviceLogSigma());
    long deadlineMilliseconds = (long) (events.nowMilliseconds() + scenario.timeoutMilliseconds());
    QueuedRequest<SimulatedRequest> request =
        new QueuedRequest<>(
            load.team(),
            events.nowWholeMilliseconds(),
            deadlineMilliseconds,
            new SimulatedRequest(serviceMilliseconds));
    recorder.recordOffered(request);
    entries.get(sampler.nextInt(Math.min(load.reachableEntries(), entries.size()))).submit(request);
  }

  /** Runs to the end of the scenario and returns the recorded outcomes. */
  public RequestRecorder run() {
    events.runUntil(scenario.durationMilliseconds());
    return recorder;
  }

  /** Returns the ratio of requests that were queued in a runner to requests offered. */
  public double ratioQueuedInRunner() {
    int queuedRequests = 0;
    for (SimulatedRunner runner : runners.values()) {
      queuedRequests += runner.queuedRequestCount();
    }
    return queuedRequests / (double) Math.max(1, recorder.offered());
  }

  /** Returns the ratio of busy to available slot time of the runners. */
  public double utilisation() {
    double busySlotMilliseconds = 0;
    for (SimulatedRunner runner : runners.values()) {
      busySlotMilliseconds += runner.busySlotMilliseconds();
    }
    double slotCount = (double) scenario.runnerCount() * Company.SLOTS_PER_RUNNER;
    return busySlotMilliseconds / (slotCount * scenario.durationMilliseconds());
  }
}
