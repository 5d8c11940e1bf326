package org.flamingochute.testsuite.scenario;

import java.util.HashSet;
import java.util.Set;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.simulation.NetworkConditions;
import org.flamingochute.testsuite.simulation.RunnerBehaviour;
import org.flamingochute.testsuite.simulation.SimulatedInstance;
import org.flamingochute.testsuite.simulation.WorkerBehaviour;

/** Injects the faults of a scenario. An unknown verb is an error. */
final class FaultPlayer {

  private final ScenarioWorld world;
  private final Set<String> disturbed = new HashSet<>();
  private long largestListLag = 300;

  FaultPlayer(ScenarioWorld world) {
    this.world = world;
  }

  /** Schedules the injection of all faults. */
  void schedule(Iterable<ScenarioCommand> faults) {
    for (ScenarioCommand fault : faults) {
      fault.requireOptions(Set.of());
      world.clock.after(fault.atMilliseconds(), () -> play(fault));
    }
  }

  /** Returns the maximum age of the instance list so far in milliseconds. */
  long largestListLag() {
    return largestListLag;
  }

  /** Returns whether an entry is currently connected to the log and its peers. */
  boolean isConnected(String entry) {
    return !disturbed.contains(entry);
  }

  private void play(ScenarioCommand fault) {
    switch (fault.verb()) {
      case "kill" -> world.loseEntry(fault.word(0));
      case "crash" -> entry(fault).process().kill();
      case "start" -> world.startEntry(fault.word(0));
      case "freeze" -> freeze(fault);
      case "thaw" -> thaw(fault);
      case "stop" -> stopGracefully(fault);
      case "cut" -> cutBothWays(fault);
      case "cut-one-way" -> cutOneWay(fault);
      case "heal" -> heal(fault);
      case "delay" -> world.network.delay(fault.word(0), fault.word(1), fault.number(2));
      case "log-down" -> world.log.setDown(true);
      case "log-up" -> world.log.setDown(false);
      case "log-slow" -> world.log.setDelay(fault.number(0));
      case "log-lose-replies" -> world.log.loseReplies((int) fault.number(0));
      case "log-repeat-appends" -> world.log.repeatAppends((int) fault.number(0));
      case "log-retain" -> world.log.retain(fault.number(0));
      case "list-lag" -> setListLag(fault.number(0));
      case "runner" ->
          world.runners.setBehaviour(
              fault.word(0), RunnerBehaviour.valueOf(fault.word(1).toUpperCase()));
      case "worker" ->
          world.workers.setBehaviour(
              fault.word(0), WorkerBehaviour.valueOf(fault.word(1).toUpperCase()));
      case "lose-instance" -> loseMatching(fault, instance -> instance.name());
      case "lose-rack" -> loseMatching(fault, instance -> instance.rack());
      case "lose-data-centre" -> loseMatching(fault, instance -> instance.dataCentre());
      case "leaving" -> world.platform.setState(fault.word(0), InstanceState.INSTANCE_LEAVING);
      case "live" -> world.platform.setState(fault.word(0), InstanceState.INSTANCE_LIVE);
      default -> throw fault.error("unknown fault \"" + fault.verb() + "\"");
    }
  }

  private SimulatedEntry entry(ScenarioCommand fault) {
    return world
        .entry(fault.word(0))
        .orElseThrow(() -> fault.error("unknown entry \"" + fault.word(0) + "\""));
  }

  private void freeze(ScenarioCommand fault) {
    world.journal.add(new Observation.EntryFrozen(world.clock.nowMilliseconds(), fault.word(0)));
    entry(fault).process().freeze();
  }

  private void thaw(ScenarioCommand fault) {
    world.journal.add(new Observation.EntryThawed(world.clock.nowMilliseconds(), fault.word(0)));
    entry(fault).process().thaw();
  }

  private void stopGracefully(ScenarioCommand fault) {
    SimulatedEntry entry = entry(fault);
    world.journal.add(
        new Observation.StopAsked(world.clock.nowMilliseconds(), entry.process().name()));
    entry
        .process()
        .runAfter(
            0,
            () ->
                entry
                    .node()
                    .stop()
                    .thenRun(() -> world.clock.after(1, () -> world.loseEntry(fault.word(0)))));
  }

  private void cutBothWays(ScenarioCommand fault) {
    world.network.cut(fault.word(0), fault.word(1));
    world.network.cut(fault.word(1), fault.word(0));
    markDisturbed(fault);
  }

  private void cutOneWay(ScenarioCommand fault) {
    world.network.cut(fault.word(0), fault.word(1));
    markDisturbed(fault);
  }

  private void markDisturbed(ScenarioCommand fault) {
    if (fault.word(0).equals(NetworkConditions.LOG)
        || fault.word(1).equals(NetworkConditions.LOG)) {
      disturbed.add(fault.word(0));
      disturbed.add(fault.word(1));
    }
  }

  private void heal(ScenarioCommand fault) {
    world.network.heal(fault.word(0), fault.word(1));
    world.network.heal(fault.word(1), fault.word(0));
    disturbed.remove(fault.word(0));
    disturbed.remove(fault.word(1));
  }

  private void setListLag(long milliseconds) {
    largestListLag = Math.max(largestListLag, milliseconds);
    world.platform.setListLag(milliseconds);
  }

  private interface InstanceProperty {
    String of(SimulatedInstance instance);
  }

  private void loseMatching(ScenarioCommand fault, InstanceProperty property) {
    boolean found = false;
    for (SimulatedInstance instance : java.util.List.copyOf(world.platform.instances())) {
      if (property.of(instance).equals(fault.word(0))) {
        found = true;
        world.loseInstance(instance);
      }
    }
    if (!found) {
      throw fault.error("no instance, rack or data centre is named \"" + fault.word(0) + "\"");
    }
  }
}
