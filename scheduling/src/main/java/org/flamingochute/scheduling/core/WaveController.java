package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * Carries out maintenance waves: evacuates a few machines ahead, and starts the maintenance of a
 * machine once it is empty and fewer machines than the wave's limit are down.
 *
 * <p>Waves may have machines in common, and the list of machines does not say for which wave a
 * machine is under maintenance. A machine counts as maintained for a wave only after the platform
 * has confirmed the command with the number of that wave; it also confirms a command that it has
 * executed for a previous leader. Against the limit counts each machine of the wave that is down
 * for any wave.
 *
 * <p>A command may be executed long after its leader has ended. So the machines that are commanded
 * are recorded with the wave before the command is sent. For a later leader they count against the
 * limit and receive no tasks, and it repeats their commands before it sends others: the platform
 * then refuses the earlier one, or has executed it.
 */
final class WaveController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of machines that are evacuated beyond the wave's limit of machines down. */
  private static final int EVACUATIONS_AHEAD = 1;

  /** Delay before a command that was not executed is sent again. */
  private static final long RETRY_DELAY_MILLISECONDS = 300;

  /**
   * Time without permission for machine commands from which a machine that is only being evacuated
   * receives tasks again. While each append takes less time than the permission is valid, the
   * permission is missing for less than that; after this time it does not return soon.
   */
  private static final long MAXIMUM_EVACUATION_PAUSE_MILLISECONDS =
      Scheduler.MACHINE_COMMAND_VALIDITY_MILLISECONDS;

  /** Time of a change of a previous leader; every list of machines is newer. */
  private static final long RESTORED_AT = Long.MIN_VALUE;

  private final WorkerRegistry workers;
  private final MachineInventory machines;
  private final MaintenanceOrder order;
  private final WorkerEvacuator workerEvacuator;
  private final MachineCommandFence machineCommandFence;
  private final Outbox outbox;
  private final Map<Long, Wave> waves = new LinkedHashMap<>();
  private long advancedAt = Long.MIN_VALUE / 2;

  WaveController(
      WorkerRegistry workers,
      MachineInventory machines,
      MaintenanceOrder order,
      WorkerEvacuator workerEvacuator,
      MachineCommandFence machineCommandFence,
      Outbox outbox) {
    this.workers = workers;
    this.machines = machines;
    this.order = order;
    this.workerEvacuator = workerEvacuator;
    this.machineCommandFence = machineCommandFence;
    this.outbox = outbox;
  }

  /** Progress of one machine of a wave. */
  private enum MachineStage {
    /** The machine is being evacuated, or is empty and waits until it may go down. */
    EMPTYING,
    /** The maintenance command was sent and has not been answered definitely. */
    ORDERED,
    /** The machine is under maintenance. */
    DOWN
  }

  private static final class Wave {
    private final WaveRequest request;
    private final Set<MachineId> maintained = new LinkedHashSet<>();
    private final Map<MachineId, MachineStage> stages = new LinkedHashMap<>();
    private final Map<MachineId, Long> stageChangedAt = new HashMap<>();
    private final Set<MachineId> unanswered = new LinkedHashSet<>();
    private final Map<MachineId, Long> retryAt = new HashMap<>();
    private boolean completed;

    private Wave(WaveRequest request) {
      this.request = request;
    }

    private boolean isOrdered(MachineId machine) {
      MachineStage stage = stages.get(machine);
      return stage == MachineStage.ORDERED || stage == MachineStage.DOWN;
    }

    private void setStage(MachineId machine, MachineStage stage, long now) {
      stages.put(machine, stage);
      stageChangedAt.put(machine, now);
    }
  }

  /** Adds a wave that operators requested, with the progress that a previous leader recorded. */
  void addWave(WaveRequest request, WaveProgress progress) {
    if (waves.containsKey(request.number())) {
      return;
    }
    Wave wave = new Wave(request);
    progress.getMaintainedList().forEach(id -> wave.maintained.add(new MachineId(id)));
    wave.completed = progress.getCompleted();
    restoreOrdered(wave, progress);
    waves.put(request.number(), wave);
    if (!wave.completed) {
      outbox.sendNow(new SchedulerCommand.ReportWave(request.number(), false));
    }
  }

  /** Takes over the commands of a previous leader, which may still be executed. */
  private static void restoreOrdered(Wave wave, WaveProgress progress) {
    for (String id : progress.getOrderedList()) {
      MachineId machine = new MachineId(id);
      if (!wave.completed && !wave.maintained.contains(machine)) {
        wave.setStage(machine, MachineStage.ORDERED, RESTORED_AT);
        wave.unanswered.add(machine);
      }
    }
  }

  /** Returns whether a machine is being evacuated or maintained for a wave. */
  boolean isInProgress(MachineId machine) {
    return waves.values().stream().anyMatch(wave -> wave.stages.containsKey(machine));
  }

  /** Advances all waves. */
  void advance(long now) {
    advancedAt = now;
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
    reserveMachinesInMaintenance(wave, now);
    finishReturnedMachines(wave);
    resendUnanswered(wave, now);
    for (MachineId machine : List.copyOf(wave.stages.keySet())) {
      if (wave.stages.get(machine) == MachineStage.EMPTYING && advanceEvacuation(machine, now)) {
        startMaintenance(wave, machine, now);
      }
    }
    evacuateMore(wave, now);
    cordon(wave);
    if (wave.maintained.size() >= wave.request.machines().size() && wave.stages.isEmpty()) {
      completeWave(wave);
    }
  }

  /**
   * Reserves machines whose maintenance a previous leader may have started. They receive no tasks
   * when they return, so that the command which then asks for their maintenance interrupts none.
   */
  private void reserveMachinesInMaintenance(Wave wave, long now) {
    for (MachineId machine : wave.request.machines()) {
      if (isInMaintenance(machine)
          && !wave.maintained.contains(machine)
          && !isInProgress(machine)) {
        wave.setStage(machine, MachineStage.EMPTYING, now);
      }
    }
  }

  private boolean isInMaintenance(MachineId machine) {
    return machines.find(machine).map(found -> found.state() == Machine.State.UPKEEP).orElse(false);
  }

  /**
   * Resends unanswered commands. They may still be executed, so their machines count against the
   * wave's limit until the platform responds.
   */
  private void resendUnanswered(Wave wave, long now) {
    for (MachineId machine : wave.unanswered) {
      if (now >= wave.retryAt.getOrDefault(machine, Long.MIN_VALUE)) {
        wave.retryAt.put(machine, now + RETRY_DELAY_MILLISECONDS);
        sendMaintenance(wave, machine, now);
      }
    }
  }

  private void cordon(Wave wave) {
    wave.stages.keySet().forEach(this::cordon);
  }

  private void cordon(MachineId machine) {
    workerOn(machine).ifPresent(worker -> worker.cordoned = true);
  }

  /**
   * Cordons machines in a pass in which no machine may be commanded: those whose maintenance may
   * still be executed, and for a while those that are being evacuated.
   */
  void cordonWithoutCommands(long now) {
    boolean evacuates = now - advancedAt < MAXIMUM_EVACUATION_PAUSE_MILLISECONDS;
    for (Wave wave : waves.values()) {
      for (Map.Entry<MachineId, MachineStage> entry : wave.stages.entrySet()) {
        boolean isNeededEmpty =
            switch (entry.getValue()) {
              case EMPTYING -> evacuates;
              case ORDERED -> true;
              case DOWN -> !hasReturned(wave, entry.getKey());
            };
        if (isNeededEmpty) {
          cordon(entry.getKey());
        }
      }
    }
  }

  private void finishReturnedMachines(Wave wave) {
    for (MachineId machine : List.copyOf(wave.stages.keySet())) {
      if (wave.stages.get(machine) == MachineStage.DOWN && hasReturned(wave, machine)) {
        finishMachine(wave, machine);
      }
    }
  }

  /**
   * Returns whether a list that is newer than the machine's maintenance has it up or not at all.
   */
  private boolean hasReturned(Wave wave, MachineId machine) {
    boolean listedLater = machines.listedAt() > wave.stageChangedAt.get(machine);
    return listedLater
        && machines.find(machine).map(found -> found.state() == Machine.State.UP).orElse(true);
  }

  private void finishMachine(Wave wave, MachineId machine) {
    wave.stages.remove(machine);
    wave.maintained.add(machine);
    logger.atInfo().log(
        "event=machine_maintained wave=%d machine=%s done=%d of=%d",
        wave.request.number(), machine, wave.maintained.size(), wave.request.machines().size());
    record(wave);
  }

  private void record(Wave wave) {
    WaveProgress.Builder progress = WaveProgress.newBuilder().setCompleted(wave.completed);
    wave.maintained.forEach(id -> progress.addMaintained(id.value()));
    for (MachineId machine : wave.stages.keySet()) {
      if (wave.isOrdered(machine)) {
        progress.addOrdered(machine.value());
      }
    }
    outbox.recordWave(wave.request.number(), progress.build());
  }

  private void completeWave(Wave wave) {
    wave.completed = true;
    record(wave);
    outbox.sendAfterRecording(new SchedulerCommand.ReportWave(wave.request.number(), true));
    logger.atInfo().log("event=wave_completed wave=%d", wave.request.number());
  }

  /** Stops the tasks that may be stopped now; returns whether the machine has no tasks. */
  private boolean advanceEvacuation(MachineId machine, long now) {
    Optional<Worker> worker = workerOn(machine);
    return worker.isEmpty() || workerEvacuator.stopMovableTasks(worker.get(), now);
  }

  private Optional<Worker> workerOn(MachineId machine) {
    return machines.find(machine).flatMap(Machine::worker).flatMap(workers::find);
  }

  private void startMaintenance(Wave wave, MachineId machine, long now) {
    boolean waitsForRetry = now < wave.retryAt.getOrDefault(machine, Long.MIN_VALUE);
    if (waitsForRetry || isInMaintenance(machine)) {
      return;
    }
    if (countDown(wave) >= Math.max(1, wave.request.maximumDown())) {
      return;
    }
    wave.setStage(machine, MachineStage.ORDERED, now);
    record(wave);
    sendMaintenance(wave, machine, now);
  }

  private void sendMaintenance(Wave wave, MachineId machine, long now) {
    machineCommandFence.onCommand(machine, now);
    outbox.sendAfterRecording(new SchedulerCommand.MaintainMachine(machine, wave.request.number()));
  }

  /** Returns the number of the wave's machines that are down for any wave, or may be. */
  private long countDown(Wave wave) {
    return wave.request.machines().stream()
        .filter(machine -> isInMaintenance(machine) || isOrderedForAnyWave(machine))
        .count();
  }

  private boolean isOrderedForAnyWave(MachineId machine) {
    return waves.values().stream().anyMatch(wave -> wave.isOrdered(machine));
  }

  /** Selects the next machines to evacuate. */
  private void evacuateMore(Wave wave, long now) {
    int freeSlots =
        Math.max(1, wave.request.maximumDown()) + EVACUATIONS_AHEAD - wave.stages.size();
    if (freeSlots <= 0) {
      return;
    }
    List<MachineId> candidates = new ArrayList<>();
    for (MachineId machine : wave.request.machines()) {
      boolean isRemaining = !wave.maintained.contains(machine) && !wave.stages.containsKey(machine);
      if (isRemaining && isUp(machine) && !isInProgress(machine)) {
        candidates.add(machine);
      }
    }
    List<MachineId> sorted = order.sort(candidates);
    for (MachineId machine : sorted.subList(0, Math.min(freeSlots, sorted.size()))) {
      wave.setStage(machine, MachineStage.EMPTYING, now);
      logger.atInfo().log(
          "event=machine_emptying wave=%d machine=%s tasks=%d",
          wave.request.number(),
          machine,
          workerOn(machine).map(worker -> worker.tasks.size()).orElse(0));
    }
  }

  private boolean isUp(MachineId machine) {
    return machines.find(machine).map(found -> found.state() == Machine.State.UP).orElse(false);
  }

  /** Handles the platform's response to a maintenance command. */
  void onMaintenanceAnswered(long waveNumber, MachineId machine, MachineOutcome outcome, long now) {
    Wave wave = waves.get(waveNumber);
    if (wave == null || wave.stages.get(machine) != MachineStage.ORDERED) {
      return;
    }
    logger.atInfo().log(
        "event=upkeep_answered wave=%d machine=%s outcome=%s", waveNumber, machine, outcome);
    // A refusal of a repeated command says nothing about the copies before it.
    boolean mayBeExecuted = wave.unanswered.remove(machine) && outcome == MachineOutcome.THROTTLED;
    if (mayBeExecuted || outcome == MachineOutcome.UNKNOWN) {
      wave.unanswered.add(machine);
      wave.retryAt.put(machine, now + RETRY_DELAY_MILLISECONDS);
      return;
    }
    switch (outcome) {
      case DONE -> wave.setStage(machine, MachineStage.DOWN, now);
      // The machine cannot be maintained in this wave, which must end nevertheless.
      case IMPOSSIBLE, OTHER_WAVE -> finishMachine(wave, machine);
      default -> {
        wave.setStage(machine, MachineStage.EMPTYING, now);
        wave.retryAt.put(machine, now + RETRY_DELAY_MILLISECONDS);
        record(wave);
      }
    }
  }
}
