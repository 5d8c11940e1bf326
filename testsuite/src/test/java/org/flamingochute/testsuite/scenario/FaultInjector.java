package org.flamingochute.testsuite.scenario;

import java.util.HashSet;
import java.util.Set;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.simulation.NetworkConditions;
import org.flamingochute.testsuite.simulation.RunnerBehaviour;
import org.flamingochute.testsuite.simulation.SimulatedInstance;
import org.flamingochute.testsuite.simulation.WorkerBehaviour;

/** Injects the faults of a scenario. An unknown verb is an error when its time comes. */
final class FaultInjector {

  private final ScenarioEnvironment environment;
  private final Set<String> disconnectedFromLog = new HashSet<>();
  private long largestListLagMilliseconds = 300;

  FaultInjector(ScenarioEnvironment environment) {
    this.environment = environment;
  }

  /** Schedules the injection of all faults. */
  void schedule(Iterable<ScenarioCommand> faults) {
    for (ScenarioCommand fault : faults) {
      fault.rejectOptionsExcept(Set.of());
      environment.clock.runAfter(fault.atMilliseconds(), () -> inject(fault));
    }
  }

  /** Returns the maximum age of the instance list so far in milliseconds. */
  long largestListLagMilliseconds() {
    return largestListLagMilliseconds;
  }

  /**
   * Returns whether no fault currently cuts an entry off from the log in either direction. Healing
   * any link of the entry also counts as reconnecting it with the log.
   */
  boolean isConnectedToLog(String entry) {
    return !disconnectedFromLog.contains(entry);
  }

  private void inject(ScenarioCommand fault) {
    switch (fault.verb()) {
      case "kill" -> environment.killEntry(fault.word(0));
      case "crash" -> entry(fault).process().kill();
      case "start" -> environment.startEntry(fault.word(0));
      case "freeze" -> freeze(fault);
      case "thaw" -> resume(fault);
      case "stop" -> stopGracefully(fault);
      case "cut" -> disconnectBothDirections(fault);
      case "cut-one-way" -> disconnectOneDirection(fault);
      case "heal" -> reconnect(fault);
      case "delay" -> environment.network.addDelay(fault.word(0), fault.word(1), fault.number(2));
      case "log-down" -> environment.log.setDown(true);
      case "log-up" -> environment.log.setDown(false);
      case "log-slow" -> environment.log.setDelay(fault.number(0));
      case "log-lose-replies" -> environment.log.dropResponses((int) fault.number(0));
      case "log-repeat-appends" -> environment.log.duplicateAppends((int) fault.number(0));
      case "log-retain" -> environment.log.limitRetention(fault.number(0));
      case "list-lag" -> setListLag(fault.number(0));
      case "runner" ->
          environment.runners.setBehaviour(
              fault.word(0), RunnerBehaviour.valueOf(fault.word(1).toUpperCase()));
      case "worker" ->
          environment.workers.setBehaviour(
              fault.word(0), WorkerBehaviour.valueOf(fault.word(1).toUpperCase()));
      case "lose-instance" -> removeMatchingInstances(fault, instance -> instance.name());
      case "lose-rack" -> removeMatchingInstances(fault, instance -> instance.rack());
      case "lose-data-centre" -> removeMatchingInstances(fault, instance -> instance.dataCentre());
      case "leaving" ->
          environment.platform.setState(fault.word(0), InstanceState.INSTANCE_LEAVING);
      case "live" -> environment.platform.setState(fault.word(0), InstanceState.INSTANCE_LIVE);
      default -> throw fault.error("unknown fault \"" + fault.verb() + "\"");
    }
  }

  private SimulatedEntry entry(ScenarioCommand fault) {
    return environment
        .entry(fault.word(0))
        .orElseThrow(() -> fault.error("unknown entry \"" + fault.word(0) + "\""));
  }

  private void freeze(ScenarioCommand fault) {
    environment.journal.add(
        new Observation.EntryFrozen(environment.clock.nowMilliseconds(), fault.word(0)));
    entry(fault).process().freeze();
  }

  private void resume(ScenarioCommand fault) {
    environment.journal.add(
        new Observation.EntryResumed(environment.clock.nowMilliseconds(), fault.word(0)));
    entry(fault).process().resume();
  }

  private void stopGracefully(ScenarioCommand fault) {
    SimulatedEntry entry = entry(fault);
    environment.journal.add(
        new Observation.StopRequested(environment.clock.nowMilliseconds(), entry.process().name()));
    entry
        .process()
        .runAfter(
            0,
            () ->
                entry
                    .node()
                    .stop()
                    .thenRun(
                        () ->
                            environment.clock.runAfter(
                                1, () -> environment.killEntry(fault.word(0)))));
  }

  private void disconnectBothDirections(ScenarioCommand fault) {
    environment.network.disconnect(fault.word(0), fault.word(1));
    environment.network.disconnect(fault.word(1), fault.word(0));
    markDisconnectedFromLog(fault);
  }

  private void disconnectOneDirection(ScenarioCommand fault) {
    environment.network.disconnect(fault.word(0), fault.word(1));
    markDisconnectedFromLog(fault);
  }

  private void markDisconnectedFromLog(ScenarioCommand fault) {
    if (fault.word(0).equals(NetworkConditions.LOG)
        || fault.word(1).equals(NetworkConditions.LOG)) {
      disconnectedFromLog.add(fault.word(0));
      disconnectedFromLog.add(fault.word(1));
    }
  }

  private void reconnect(ScenarioCommand fault) {
    environment.network.reconnect(fault.word(0), fault.word(1));
    environment.network.reconnect(fault.word(1), fault.word(0));
    disconnectedFromLog.remove(fault.word(0));
    disconnectedFromLog.remove(fault.word(1));
  }

  private void setListLag(long milliseconds) {
    largestListLagMilliseconds = Math.max(largestListLagMilliseconds, milliseconds);
    environment.platform.setListLag(milliseconds);
  }

  private interface InstanceProperty {
    String valueOf(SimulatedInstance instance);
  }

  private void removeMatchingInstances(ScenarioCommand fault, InstanceProperty property) {
    boolean found = false;
    for (SimulatedInstance instance : java.util.List.copyOf(environment.platform.instances())) {
      if (property.valueOf(instance).equals(fault.word(0))) {
        found = true;
        environment.removeInstance(instance);
      }
    }
    if (!found) {
      throw fault.error("no instance, rack or data centre is named \"" + fault.word(0) + "\"");
    }
  }
}
