package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.schema.scheduling.PoolHistory;

/**
 * Moves machines between pools whose loads peak in turn.
 *
 * <p>A pool whose load exceeds its machines gets the missing machines at once: first those that
 * other pools no longer require, which saves a second move, then from the standby pool, and last
 * from pools that can lend some. {@link PoolRequirements} says how many machines a pool should
 * have. A machine in a data centre that is to be evacuated does not count, and goes to no other
 * pool than the standby pool. Machines that a pool has not required for a while go to the standby
 * pool, where they cost nothing. Only machines without tasks are moved, so a move never ends a
 * task.
 */
final class PoolPlanner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time for which a pool must have a surplus before it goes to the standby pool. */
  private static final long SURPLUS_DELAY_MILLISECONDS = 1_200;

  /**
   * Time after its command from which a move is no longer tracked, whether or not it took effect.
   */
  private static final long MOVE_TIMEOUT_MILLISECONDS = 4_000;

  /**
   * Shortest time between moves of evacuated machines to the standby pool. The machines service
   * throttles commands, and those that replace lost capacity are more urgent.
   */
  private static final long EVACUATED_RETURN_INTERVAL_MILLISECONDS = 200;

  /**
   * Shortest time between two orders to return the same evacuated machine. A machine whose return
   * is refused for good must not hold back the others, nor cause a record with each order.
   */
  private static final long EVACUATED_RETURN_RETRY_MILLISECONDS = 2_000;

  private static final long LOG_INTERVAL_MILLISECONDS = 1_000;

  private final WorkerRegistry workers;
  private final MachineInventory machines;
  private final JobRegistry jobs;
  private final DataCentreEvacuation dataCentreEvacuation;
  private final WaveController waveController;
  private final MaintenanceOrder maintenanceOrder;
  private final MachineCommandFence machineCommandFence;
  private final CapacityShortage shortage;
  private final Outbox outbox;
  private final Map<MachineId, Move> moves = new LinkedHashMap<>();
  private final LoadPeakForecast forecast = new LoadPeakForecast();
  private final MachineHomePools machineHomePools;
  private final PoolRequirements requirements;
  private final Map<PoolId, Long> surplusSince = new HashMap<>();
  private long loggedAt = Long.MIN_VALUE / 2;
  private long evacuatedReturnedAt = Long.MIN_VALUE / 2;

  /** Times of the last orders to return evacuated machines, while there are such machines. */
  private final Map<MachineId, Long> evacuatedReturnedAtByMachine = new HashMap<>();

  private record Move(PoolId pool, long orderedAt) {}

  PoolPlanner(
      WorkerRegistry workers,
      MachineInventory machines,
      JobRegistry jobs,
      DataCentreEvacuation dataCentreEvacuation,
      WaveController waveController,
      MaintenanceOrder maintenanceOrder,
      MachineCommandFence machineCommandFence,
      CapacityShortage shortage,
      Outbox outbox) {
    this.workers = workers;
    this.machines = machines;
    this.machineHomePools = new MachineHomePools(machines);
    this.requirements = new PoolRequirements(forecast, machineHomePools);
    this.jobs = jobs;
    this.dataCentreEvacuation = dataCentreEvacuation;
    this.waveController = waveController;
    this.maintenanceOrder = maintenanceOrder;
    this.machineCommandFence = machineCommandFence;
    this.shortage = shortage;
    this.outbox = outbox;
  }

  /** Restores the history that a previous leader recorded. */
  void restore(PoolHistory history) {
    machineHomePools.restore(history);
    forecast.restore(history);
  }

  private void recordHistory() {
    PoolHistory.Builder history = PoolHistory.newBuilder();
    machineHomePools.record(history);
    forecast.record(history);
    outbox.recordPoolHistory(history.build());
  }

  /** Starts the machine moves that the current and forecast loads require. */
  void advance(FleetDeclaration declaration, long now, long wallClockMilliseconds) {
    removeFinishedMoves(now);
    if (machines.isEmpty()) {
      return;
    }
    boolean historyChanged = machineHomePools.recordNewMachines();
    Map<PoolId, PoolLoad> loadsByPool = loadsByPool(wallClockMilliseconds);
    Map<PoolId, PoolPlan> plans = plansByPool(declaration, now);
    Optional<PoolPlan> standby =
        plans.values().stream().filter(plan -> plan.pool.standby()).findFirst();
    ResourceVector machineCapacity = typicalCapacity();
    for (PoolPlan plan : plans.values()) {
      if (!plan.pool.standby()) {
        PoolLoad load = loadsByPool.getOrDefault(plan.pool.id(), new PoolLoad());
        plan.missingMachines = shortage.missingMachines(plan.pool.id(), plan.schedulableCount, now);
        historyChanged |= requirements.update(plan, load, machineCapacity, wallClockMilliseconds);
      }
    }
    if (historyChanged) {
      recordHistory();
    }
    for (PoolPlan plan : sortByShortage(plans)) {
      if (!plan.pool.standby()) {
        fillShortage(plan, plans, standby, now);
      }
    }
    if (standby.isPresent()) {
      returnEvacuated(plans, standby.get(), now);
      returnSurplus(plans, standby.get(), now);
    }
    maintenanceOrder.update(standby.map(plan -> plan.pool.id()), busyPools(plans), moves.keySet());
    cordonMovingMachines();
    logPoolStates(plans, loadsByPool, now);
  }

  /**
   * Cordons the machines whose moves may still be executed, in a pass in which no machine may be
   * commanded.
   */
  void cordonWithoutCommands(long now) {
    removeFinishedMoves(now);
    cordonMovingMachines();
  }

  /**
   * Returns the pools, those that lack most machines for their current load first: the current load
   * takes precedence over reserves for a forecast load.
   */
  private static List<PoolPlan> sortByShortage(Map<PoolId, PoolPlan> plans) {
    List<PoolPlan> sorted = new ArrayList<>(plans.values());
    sorted.sort(
        Comparator.comparingInt((PoolPlan plan) -> plan.machineCount - plan.machinesForLoad));
    return sorted;
  }

  /** Returns the pools that are at a peak or have fewer machines than they should have. */
  private Set<PoolId> busyPools(Map<PoolId, PoolPlan> plans) {
    Set<PoolId> busy = new HashSet<>();
    for (PoolPlan plan : plans.values()) {
      if (plan.machineCount < plan.requiredMachines || forecast.isAtPeak(plan.pool.id())) {
        busy.add(plan.pool.id());
      }
    }
    return busy;
  }

  private void removeFinishedMoves(long now) {
    moves
        .entrySet()
        .removeIf(
            entry -> {
              boolean listedLater = machines.listedAt() > entry.getValue().orderedAt();
              boolean arrived =
                  machines
                      .find(entry.getKey())
                      .map(machine -> machine.pool().equals(entry.getValue().pool()))
                      .orElse(true);
              boolean expired = now - entry.getValue().orderedAt() > MOVE_TIMEOUT_MILLISECONDS;
              return listedLater && arrived || expired;
            });
  }

  private Map<PoolId, PoolLoad> loadsByPool(long wallClockMilliseconds) {
    Map<PoolId, PoolLoad> loadsByPool = new HashMap<>();
    for (Job job : jobs.all()) {
      if (job.isOpen()) {
        loadsByPool
            .computeIfAbsent(job.pool, pool -> new PoolLoad())
            .add(job, wallClockMilliseconds);
      }
    }
    return loadsByPool;
  }

  private Map<PoolId, PoolPlan> plansByPool(FleetDeclaration declaration, long now) {
    Map<PoolId, PoolPlan> plans = new TreeMap<>();
    for (Pool pool : declaration.pools()) {
      plans.put(pool.id(), new PoolPlan(pool));
    }
    for (Machine machine : machines.all()) {
      Move move = moves.get(machine.id());
      PoolPlan plan = plans.get(move == null ? machine.pool() : move.pool());
      if (plan == null || machine.state() == Machine.State.DOWN) {
        continue;
      }
      addMachine(plan, machine, move == null, now);
    }
    for (PoolPlan plan : plans.values()) {
      plan.machineCount -= ColdWorkers.reduction(plan.coldMachineCount);
    }
    return plans;
  }

  private void addMachine(PoolPlan plan, Machine machine, boolean isSettled, long now) {
    final boolean isMovable =
        isSettled
            && machine.state() == Machine.State.UP
            && machineCommandFence.allows(machine.id(), now)
            && !waveController.isInProgress(machine.id())
            && isIdle(machine, plan.pool);
    if (dataCentreEvacuation.includes(machine)) {
      if (isMovable) {
        plan.idleEvacuatedMachines.add(machine);
      }
      return;
    }
    plan.machineCount++;
    countWorker(plan, machine, isSettled);
    if (ColdWorkers.isCold(machine, workers, now)) {
      plan.coldMachineCount++;
    }
    if (isMovable) {
      plan.movableMachines.add(machine);
    }
  }

  private void countWorker(PoolPlan plan, Machine machine, boolean isSettled) {
    Optional<Worker> worker = machine.worker().flatMap(workers::find);
    if (!isSettled || machine.state() != Machine.State.UP || worker.isEmpty()) {
      return;
    }
    if (worker.get().isSchedulable()) {
      plan.schedulableCount++;
    }
    // A worker that this leader has not called yet may have room, as a machine that moves may.
    if (worker.get().leaseConfirmed || worker.get().unreachable) {
      plan.settledCount++;
    }
  }

  private boolean isIdle(Machine machine, Pool pool) {
    if (pool.standby()) {
      return true;
    }
    Optional<Worker> worker = machine.worker().flatMap(workers::find);
    return worker.isPresent() && worker.get().isUsable() && worker.get().tasks.isEmpty();
  }

  /**
   * Returns the most common capacity of a machine, in which the loads of all pools are measured. A
   * machine of another capacity counts as one machine too, and the platform decides whether it is
   * suitable for the pool that it is moved to.
   */
  private ResourceVector typicalCapacity() {
    Map<ResourceVector, Integer> counts = new HashMap<>();
    ResourceVector typical = ResourceVector.ZERO;
    int highestCount = 0;
    for (Machine machine : machines.all()) {
      int count = counts.merge(machine.capacity(), 1, Integer::sum);
      if (count > highestCount) {
        highestCount = count;
        typical = machine.capacity();
      }
    }
    return typical;
  }

  private void fillShortage(
      PoolPlan plan, Map<PoolId, PoolPlan> plans, Optional<PoolPlan> standby, long now) {
    int missing = plan.requiredMachines - plan.machineCount;
    if (missing <= 0) {
      return;
    }
    for (PoolPlan donor : plans.values()) {
      missing -= lendMachines(donor, donor.requiredMachines, plan, missing, now);
    }
    missing =
        moveMachines(
            standby.map(found -> found.movableMachines).orElse(List.of()), missing, plan, now);
    for (PoolPlan donor : plans.values()) {
      missing -= lendMachines(donor, donor.lendingFloor, plan, missing, now);
    }
    int overload = plan.machinesForLoad - plan.machineCount;
    for (PoolPlan donor : plans.values()) {
      overload -= lendMachines(donor, donor.overloadLendingFloor, plan, overload, now);
    }
  }

  /**
   * Moves up to the given number of a pool's machines above a floor; returns how many were moved.
   */
  private int lendMachines(PoolPlan donor, int floor, PoolPlan target, int wanted, long now) {
    int lendable = Math.min(donor.machineCount - floor, wanted);
    if (donor == target || donor.pool.standby() || lendable <= 0) {
      return 0;
    }
    int remaining = moveMachines(donor.movableMachines, lendable, target, now);
    donor.machineCount -= lendable - remaining;
    return lendable - remaining;
  }

  /** Moves up to the given number of machines; returns how many are still missing. */
  private int moveMachines(List<Machine> candidates, int wanted, PoolPlan target, long now) {
    int remaining = wanted;
    while (remaining > 0 && !candidates.isEmpty()) {
      moveMachine(candidates.removeLast(), target.pool.id(), now);
      target.machineCount++;
      remaining--;
    }
    return remaining;
  }

  private void moveMachine(Machine machine, PoolId pool, long now) {
    moves.put(machine.id(), new Move(pool, now));
    machineCommandFence.onCommand(machine.id(), now);
    outbox.sendAfterRecording(new SchedulerCommand.MoveMachine(machine.id(), pool));
    logger.atInfo().log(
        "event=machine_moving machine=%s from=%s to=%s", machine.id(), machine.pool(), pool);
  }

  /**
   * Moves an idle machine out of an evacuated data centre to the standby pool: the one whose last
   * order is longest ago.
   */
  private void returnEvacuated(Map<PoolId, PoolPlan> plans, PoolPlan standby, long now) {
    if (!dataCentreEvacuation.isRequested()) {
      evacuatedReturnedAtByMachine.clear();
      return;
    }
    if (now - evacuatedReturnedAt < EVACUATED_RETURN_INTERVAL_MILLISECONDS) {
      return;
    }
    Machine next = null;
    for (PoolPlan plan : plans.values()) {
      if (plan.pool.standby()) {
        continue;
      }
      for (Machine machine : plan.idleEvacuatedMachines) {
        if (next == null || lastReturnOf(machine) < lastReturnOf(next)) {
          next = machine;
        }
      }
    }
    if (next != null && now - lastReturnOf(next) >= EVACUATED_RETURN_RETRY_MILLISECONDS) {
      moveMachine(next, standby.pool.id(), now);
      evacuatedReturnedAt = now;
      evacuatedReturnedAtByMachine.put(next.id(), now);
    }
  }

  private long lastReturnOf(Machine machine) {
    return evacuatedReturnedAtByMachine.getOrDefault(machine.id(), Long.MIN_VALUE / 2);
  }

  private void returnSurplus(Map<PoolId, PoolPlan> plans, PoolPlan standby, long now) {
    for (PoolPlan plan : plans.values()) {
      if (plan.pool.standby() || plan.machineCount <= plan.requiredMachines) {
        surplusSince.remove(plan.pool.id());
        continue;
      }
      long surplusStartedAt = surplusSince.computeIfAbsent(plan.pool.id(), pool -> now);
      if (now - surplusStartedAt >= SURPLUS_DELAY_MILLISECONDS) {
        moveMachines(plan.movableMachines, plan.machineCount - plan.requiredMachines, standby, now);
      }
    }
  }

  private void cordonMovingMachines() {
    for (MachineId machine : moves.keySet()) {
      machines
          .find(machine)
          .flatMap(Machine::worker)
          .flatMap(workers::find)
          .filter(worker -> !worker.report.pool().equals(moves.get(machine).pool()))
          .ifPresent(worker -> worker.cordoned = true);
    }
  }

  /** Handles the platform's response to a move command. */
  void onMoveAnswered(MachineId machine, MachineOutcome outcome) {
    if (outcome != MachineOutcome.DONE && outcome != MachineOutcome.UNKNOWN) {
      moves.remove(machine);
    }
  }

  private void logPoolStates(
      Map<PoolId, PoolPlan> plans, Map<PoolId, PoolLoad> loadsByPool, long now) {
    if (now - loggedAt < LOG_INTERVAL_MILLISECONDS) {
      return;
    }
    loggedAt = now;
    for (PoolPlan plan : plans.values()) {
      PoolLoad load = loadsByPool.getOrDefault(plan.pool.id(), new PoolLoad());
      logger.atInfo().log(
          "event=pool_state pool=%s machines=%d idle=%d need=%d lasting_millicores=%d"
              + " running_millicores=%d waiting_millicores=%d waiting_tasks=%d",
          plan.pool.id(),
          plan.machineCount,
          plan.movableMachines.size(),
          plan.requiredMachines,
          load.longRunning().processorMillicores(),
          load.running().processorMillicores(),
          load.waiting().processorMillicores(),
          load.waitingTasks());
    }
  }
}
