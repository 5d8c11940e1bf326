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
import org.flamingochute.experiment.model.Draws;
import org.flamingochute.experiment.model.EventQueue;

/** Runs one service under load with the decision code of one policy. */
final class RequestSimulation {

  private static final double EXPIRY_MILLISECONDS = 20;

  private final RequestScenario scenario;
  private final Draws draws;
  private final EventQueue events = new EventQueue();
  private final RequestRecorder recorder = new RequestRecorder();
  private final Map<InstanceId, SimulatedRunner> runners = new LinkedHashMap<>();
  private final List<SimulatedEntry> entries = new ArrayList<>();

  /** Creates a simulation. */
  RequestSimulation(RequestScenario scenario, RequestPolicy policy, long seed) {
    this.scenario = scenario;
    this.draws = new Draws(seed);
    for (int i = 0; i < scenario.runners(); i++) {
      runners.put(new InstanceId("runner-" + i), new SimulatedRunner(events));
    }
    Map<TeamId, Integer> shares = new HashMap<>();
    scenario.teams().forEach(load -> shares.put(load.team(), load.share()));
    ShareSource source = shares::get;
    for (int i = 0; i < scenario.entries(); i++) {
      Draws own = new Draws(seed * 31 + i + 1);
      entries.add(
          new SimulatedEntry(
              events,
              policy.queue().apply(source),
              slotPart -> policy.chooser().create(own.random(), scenario.entries(), slotPart),
              shares,
              scenario.entries(),
              runners,
              recorder));
    }
    for (int i = 0; i < scenario.entries(); i++) {
      SimulatedEntry entry = entries.get(i);
      events.after(
          scenario.gossipMilliseconds() * i / scenario.entries(),
          () ->
              events.every(
                  scenario.gossipMilliseconds(),
                  () -> entry.gossip(entries, policy.gossipsEndpoints(), policy.gossipsService())));
      events.every(EXPIRY_MILLISECONDS, entry::dispatch);
    }
    scenario.teams().forEach(this::scheduleArrival);
  }

  private void scheduleArrival(TeamLoad load) {
    events.after(
        draws.exponential(1000 / load.requestsPerSecond()),
        () -> {
          if (load.isActive(events.now())) {
            arrive(load);
          }
          scheduleArrival(load);
        });
  }

  private void arrive(TeamLoad load) {
    double service = draws.logNormal(scenario.meanServiceMilliseconds(), scenario.serviceSigma());
    long deadline = (long) (events.now() + scenario.timeoutMilliseconds());
    QueuedRequest<SimulatedRequest> request =
        new QueuedRequest<>(
            load.team(), events.wholeNow(), deadline, new SimulatedRequest(service));
    recorder.offered(request);
    entries.get(draws.below(Math.min(load.entries(), entries.size()))).arrive(request);
  }

  /** Runs to the end of the scenario and returns what callers saw. */
  public RequestRecorder run() {
    events.runUntil(scenario.durationMilliseconds());
    return recorder;
  }

  /** Returns the part of the requests that had to wait inside a runner. */
  public double waitedInRunner() {
    int queued = 0;
    for (SimulatedRunner runner : runners.values()) {
      queued += runner.queuedRequests();
    }
    return queued / (double) Math.max(1, recorder.total());
  }

  /** Returns the part of the runners' slot time that was in use. */
  public double utilisation() {
    double busy = 0;
    for (SimulatedRunner runner : runners.values()) {
      busy += runner.busySlotMilliseconds();
    }
    double slots = (double) scenario.runners() * Company.SLOTS;
    return busy / (slots * scenario.durationMilliseconds());
  }
}
