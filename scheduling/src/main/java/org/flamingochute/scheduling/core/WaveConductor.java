package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.WaveOrder;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * Carries out maintenance waves: empties a few machines ahead, and takes one down whenever it is
 * empty and fewer than the wave's limit are down.
 */
final class WaveConductor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Machines that are emptied while the limit of the wave is reached. */
  private static final int EMPTIED_AHEAD = 1;

  /** Pause before an order that was not carried out is repeated. */
  private static final long RETRY_MILLISECONDS = 300;

  private final WorkerBook workers;
  private final MachineBook machines;
  private final Evacuation evacuation;
  private final Outbox outbox;
  private final Map<Long, Wave> waves = new LinkedHashMap<>();

  WaveConductor(WorkerBook workers, MachineBook machines, Evacuation evacuation, Outbox outbox) {
    this.workers = workers;
    this.machines = machines;
    this.evacuation = evacuation;
    this.outbox = outbox;
  }

  /** What is happening to one machine of a wave. */
  private enum Stage {
    EMPTYING,
    ORDERED,
    DOWN
  }

  private static final class Wave {
    private final WaveOrder order;
    private final Set<MachineId> maintained = new LinkedHashSet<>();
    private final Map<MachineId, Stage> stages = new LinkedHashMap<>();
    private final Map<MachineId, Long> changedAt = new HashMap<>();
    private final Set<MachineId> unanswered = new LinkedHashSet<>();
    private final Map<MachineId, Long> notBefore = new HashMap<>();
    private boolean completed;

    private Wave(WaveOrder order) {
      this.order = order;
    }

    private long count(Stage stage) {
      return stages.values().stream().filter(other -> other == stage).count();
    }

    private void enter(MachineId machine, Stage stage, long now) {
      stages.put(machine, stage);
      changedAt.put(machine, now);
    }
  }

  /** Takes a wave that operators ordered, or that was begun before. */
  void order(WaveOrder order, WaveProgress progress) {
    if (waves.containsKey(order.number())) {
      return;
    }
    Wave wave = new Wave(order);
    progress.getMaintainedList().forEach(id -> wave.maintained.add(new MachineId(id)));
    wave.completed = progress.getCompleted();
    waves.put(order.number(), wave);
    if (!wave.completed) {
      outbox.now(new SchedulerCommand.ReportWave(order.number(), false));
    }
  }

  /** Tells whether a machine is being emptied or is down for a wave. */
  boolean isHandling(MachineId machine) {
    return waves.values().stream().anyMatch(wave -> wave.stages.containsKey(machine));
  }

  /** Tells whether a machine waits for the upkeep of a wave. */
  boolean isPlanned(MachineId machine) {
    return waves.values().stream()
        .anyMatch(
            wave ->
                !wave.completed
                    && wave.order.machines().contains(machine)
                    && !wave.maintained.contains(machine));
  }

  /** Takes the next steps of all waves. */
  void advance(long now) {
    for (Wave wave : waves.values()) {
      if (!wave.completed) {
        advance(wave, now);
      }
    }
  }

  private void advance(Wave wave, long now) {
    if (machines.isEmpty()) {
      return;
    }
    noteDown(wave, now);
    noteReturned(wave, now);
    repeatUnanswered(wave, now);
    for (MachineId machine : List.copyOf(wave.stages.keySet())) {
      if (wave.stages.get(machine) == Stage.EMPTYING && isEmptied(machine, now)) {
        takeDown(wave, machine, now);
      }
    }
    emptyMore(wave, now);
    cordon(wave);
    if (wave.maintained.size() >= wave.order.machines().size() && wave.stages.isEmpty()) {
      complete(wave);
    }
  }

  /** A predecessor may have taken machines down. */
  private void noteDown(Wave wave, long now) {
    for (MachineId machine : wave.order.machines()) {
      boolean down =
          machines.find(machine).map(found -> found.state() == Machine.State.UPKEEP).orElse(false);
      if (down && !wave.maintained.contains(machine) && !wave.stages.containsKey(machine)) {
        wave.enter(machine, Stage.DOWN, now);
      }
    }
  }

  /** An order without an answer may still be carried out, so it counts until it is answered. */
  private void repeatUnanswered(Wave wave, long now) {
    for (MachineId machine : wave.unanswered) {
      if (now >= wave.notBefore.getOrDefault(machine, Long.MIN_VALUE)) {
        wave.notBefore.put(machine, now + RETRY_MILLISECONDS);
        outbox.now(new SchedulerCommand.MaintainMachine(machine, wave.order.number()));
      }
    }
  }

  private void cordon(Wave wave) {
    for (MachineId machine : wave.stages.keySet()) {
      workerOn(machine).ifPresent(worker -> worker.cordoned = true);
    }
  }

  private void noteReturned(Wave wave, long now) {
    for (MachineId machine : List.copyOf(wave.stages.keySet())) {
      boolean seenAfter = machines.listedAt() > wave.changedAt.get(machine);
      Optional<Machine> listed = machines.find(machine);
      boolean back = listed.isPresent() && listed.get().state() == Machine.State.UP;
      if (wave.stages.get(machine) == Stage.DOWN && seenAfter && (back || listed.isEmpty())) {
        finish(wave, machine);
      }
    }
  }

  private void finish(Wave wave, MachineId machine) {
    wave.stages.remove(machine);
    wave.maintained.add(machine);
    logger.atInfo().log(
        "event=machine_maintained wave=%d machine=%s done=%d of=%d",
        wave.order.number(), machine, wave.maintained.size(), wave.order.machines().size());
    record(wave);
  }

  private void record(Wave wave) {
    WaveProgress.Builder progress = WaveProgress.newBuilder().setCompleted(wave.completed);
    wave.maintained.forEach(id -> progress.addMaintained(id.value()));
    outbox.waveChanged(wave.order.number(), progress.build());
  }

  private void complete(Wave wave) {
    wave.completed = true;
    record(wave);
    outbox.afterRecording(new SchedulerCommand.ReportWave(wave.order.number(), true));
    logger.atInfo().log("event=wave_completed wave=%d", wave.order.number());
  }

  private boolean isEmptied(MachineId machine, long now) {
    Optional<Worker> worker = workerOn(machine);
    return worker.isEmpty() || evacuation.advance(worker.get(), now);
  }

  private Optional<Worker> workerOn(MachineId machine) {
    return machines.find(machine).flatMap(Machine::worker).flatMap(workers::newest);
  }

  private void takeDown(Wave wave, MachineId machine, long now) {
    boolean limitReached =
        wave.count(Stage.DOWN) + wave.count(Stage.ORDERED) >= Math.max(1, wave.order.maximumDown());
    boolean waitsForRetry = now < wave.notBefore.getOrDefault(machine, Long.MIN_VALUE);
    if (limitReached || waitsForRetry) {
      return;
    }
    wave.enter(machine, Stage.ORDERED, now);
    outbox.afterRecording(new SchedulerCommand.MaintainMachine(machine, wave.order.number()));
  }

  /** Chooses the next machines by the work on them, the least first. */
  private void emptyMore(Wave wave, long now) {
    int room = Math.max(1, wave.order.maximumDown()) + EMPTIED_AHEAD - wave.stages.size();
    if (room <= 0) {
      return;
    }
    List<MachineId> candidates = new ArrayList<>();
    for (MachineId machine : wave.order.machines()) {
      boolean open = !wave.maintained.contains(machine) && !wave.stages.containsKey(machine);
      if (open && isUp(machine) && !isHandling(machine)) {
        candidates.add(machine);
      }
    }
    candidates.sort(Comparator.comparingDouble(this::load));
    for (MachineId machine : candidates.subList(0, Math.min(room, candidates.size()))) {
      wave.enter(machine, Stage.EMPTYING, now);
      logger.atInfo().log(
          "event=machine_emptying wave=%d machine=%s tasks=%d",
          wave.order.number(), machine, workerOn(machine).map(w -> w.tasks.size()).orElse(0));
    }
  }

  private boolean isUp(MachineId machine) {
    return machines.find(machine).map(found -> found.state() == Machine.State.UP).orElse(false);
  }

  private double load(MachineId machine) {
    return workerOn(machine)
        .map(worker -> worker.used().dominantPart(worker.report.capacity()))
        .orElse(0.0);
  }

  /** Takes the platform's answer to an order for a machine. */
  void answered(long number, MachineId machine, MachineOutcome outcome, long now) {
    Wave wave = waves.get(number);
    if (wave == null || wave.stages.get(machine) != Stage.ORDERED) {
      return;
    }
    logger.atInfo().log(
        "event=upkeep_answered wave=%d machine=%s outcome=%s", number, machine, outcome);
    wave.unanswered.remove(machine);
    switch (outcome) {
      case UNKNOWN -> {
        wave.unanswered.add(machine);
        wave.notBefore.put(machine, now + RETRY_MILLISECONDS);
      }
      case DONE -> wave.enter(machine, Stage.DOWN, now);
      case IMPOSSIBLE, OTHER_WAVE -> finish(wave, machine);
      default -> {
        wave.enter(machine, Stage.EMPTYING, now);
        wave.notBefore.put(machine, now + RETRY_MILLISECONDS);
      }
    }
  }
}
