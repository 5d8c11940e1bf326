package org.flamingochute.scheduling.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.flamingochute.scheduling.simulation.CallFate;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.scheduling.simulation.SimulatedStore;
import org.flamingochute.scheduling.simulation.WorkerFaultInjector;

/** Injects random faults into the leaders, the store, the workers and the calls between them. */
final class RandomFaults {
  private static final long CALL_TIMEOUT_MILLISECONDS = 900;

  /** Longest time after which most late calls are executed. */
  private static final int LONGEST_CALL_DELAY_MILLISECONDS = 1_900;

  /** Longest time after which a worker of the platform executes a call. */
  private static final int LATEST_CALL_DELAY_MILLISECONDS = 12_000;

  private static final int LONGEST_STORE_DELAY_MILLISECONDS = 600;

  private final Random random;
  private final SimulatedFleet fleet;
  private final List<String> workers = new ArrayList<>();
  private final List<String> endedWorkers = new ArrayList<>();
  private final List<String> foreignWorkers = new ArrayList<>();
  private int addedWorkers;

  RandomFaults(Random random, SimulatedFleet fleet, RandomJobs jobs) {
    this.random = random;
    this.fleet = fleet;
  }

  void onWorkerAdded(String name) {
    workers.add(name);
    addedWorkers++;
  }

  /** Injects or ends a fault; returns a description. */
  String next() {
    int kind = random.nextInt(24);
    return switch (kind) {
      case 0, 1 -> replaceLeader();
      case 2 -> pauseLeader();
      case 3 -> cutLeader();
      case 4 -> resumeLeaders();
      case 5, 6 -> changeStore();
      case 7 -> replaceWorker();
      case 8 -> listEndedWorker();
      case 9 -> listForeignWorker();
      default -> changeWorker(kind);
    };
  }

  private String replaceLeader() {
    boolean graceful = random.nextInt(3) == 0;
    fleet.replaceLeader(graceful);
    return "takeover " + (graceful ? "graceful" : "crash");
  }

  private String pauseLeader() {
    fleet.replacePausedLeader();
    return "takeover from a paused leader";
  }

  private String cutLeader() {
    fleet.replaceCutLeader();
    return "takeover from a leader that is cut off from the store";
  }

  private String resumeLeaders() {
    fleet.resumeFormerLeaders();
    return "paused leaders go on";
  }

  private String changeStore() {
    boolean down = random.nextInt(3) == 0;
    long delay = 10 * random.nextInt(LONGEST_STORE_DELAY_MILLISECONDS / 10);
    fleet.store().setFault(down ? SimulatedStore.Fault.DOWN : SimulatedStore.Fault.NONE);
    fleet.store().setResponseDelay(delay);
    return "store " + (down ? "down" : "up") + " delay=" + delay;
  }

  private String replaceWorker() {
    String former = randomWorker();
    String successor = "w" + addedWorkers;
    fleet.replaceWorker(former, successor);
    workers.remove(former);
    endedWorkers.add(former);
    onWorkerAdded(successor);
    return former + " ends, " + successor + " has its address";
  }

  private String listEndedWorker() {
    if (endedWorkers.isEmpty()) {
      return "nothing";
    }
    String ended = endedWorkers.get(random.nextInt(endedWorkers.size()));
    if (random.nextBoolean()) {
      fleet.unlistWorker(ended);
      return ended + " unlisted after its end";
    }
    fleet.listAgain(ended);
    return ended + " listed after its end";
  }

  private String listForeignWorker() {
    String name = "x" + foreignWorkers.size();
    String owner = randomWorker();
    foreignWorkers.add(name);
    fleet.listForeignWorker(name, owner, random.nextInt(2) * fleet.now());
    return name + " listed with the address of " + owner;
  }

  private String changeWorker(int kind) {
    String name = randomWorker();
    WorkerFaultInjector worker = fleet.worker(name);
    switch (kind) {
      case 10 -> worker.setReachable(false);
      case 11, 12 -> worker.setReachable(true);
      case 13 -> worker.restart();
      case 14 -> worker.restartUnlisted();
      case 15 -> worker.restartBeforeNextStart();
      case 16 -> worker.list();
      case 17 -> worker.shutDown();
      case 18 -> worker.unlist();
      case 19 -> worker.setFailing(random.nextInt(3) == 0);
      case 20 -> worker.loseNextStartResponse();
      case 21, 22 -> worker.delayNextStart(10 + random.nextInt(LONGEST_CALL_DELAY_MILLISECONDS));
      default -> worker.delayNextStart(10 + random.nextInt(LATEST_CALL_DELAY_MILLISECONDS));
    }
    return name + " " + describe(kind);
  }

  private static String describe(int kind) {
    return switch (kind) {
      case 10 -> "is cut off";
      case 11, 12 -> "is reachable";
      case 13 -> "restarts and is listed";
      case 14 -> "restarts";
      case 15 -> "restarts before its next start";
      case 16 -> "is listed";
      case 17 -> "shuts down";
      case 18 -> "is unlisted";
      case 19 -> "fails all runs, or no longer";
      case 20 -> "loses the response to its next start";
      default -> "executes its next start late";
    };
  }

  private String randomWorker() {
    return workers.get(random.nextInt(workers.size()));
  }

  /** Returns the fate of a call while there are faults. */
  CallFate nextCallFate() {
    int kind = random.nextInt(100);
    if (kind < 80) {
      return CallFate.IMMEDIATE;
    }
    long shortDelay = 10 + random.nextInt(300);
    if (kind < 88) {
      return new CallFate(shortDelay, 0, false, false, CALL_TIMEOUT_MILLISECONDS);
    }
    if (kind < 94) {
      return new CallFate(0, shortDelay, false, false, CALL_TIMEOUT_MILLISECONDS);
    }
    if (kind < 96) {
      return new CallFate(0, 0, true, false, CALL_TIMEOUT_MILLISECONDS);
    }
    if (kind < 98) {
      return new CallFate(0, 0, false, true, CALL_TIMEOUT_MILLISECONDS);
    }
    int longest = kind == 98 ? LONGEST_CALL_DELAY_MILLISECONDS : LATEST_CALL_DELAY_MILLISECONDS;
    long longDelay = 10 + random.nextInt(longest);
    return new CallFate(longDelay, 0, false, false, CALL_TIMEOUT_MILLISECONDS);
  }

  /** Ends all faults. */
  void endAll() {
    fleet.setCallFates(() -> CallFate.IMMEDIATE);
    fleet.resumeFormerLeaders();
    fleet.store().setFault(SimulatedStore.Fault.NONE);
    fleet.store().setResponseDelay(0);
    endedWorkers.forEach(fleet::unlistWorker);
    foreignWorkers.forEach(fleet::unlistWorker);
    for (String name : workers) {
      WorkerFaultInjector worker = fleet.worker(name);
      worker.setReachable(true);
      worker.setFailing(false);
      worker.clearFaultsOfNextStart();
      if (worker.isDown()) {
        worker.restart();
      }
      worker.list();
    }
  }
}
