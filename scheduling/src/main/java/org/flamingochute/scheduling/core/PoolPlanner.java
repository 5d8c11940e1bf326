package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.schema.scheduling.PoolHistory;

/**
 * Moves machines between pools as their load rises and falls by turns.
 *
 * <p>A pool whose load exceeds its machines gets the shortage at once: from the standby pool first,
 * then from pools that have more than they need. A pool keeps at least the machines that it had at
 * first until it had its turn; between its turns it keeps fewer, and it gets them back before the
 * next turn is expected. What a pool has above its need for a while goes to the standby pool, where
 * it costs nothing. Only machines on which nothing runs move, so a move never ends a task.
 */
final class PoolPlanner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Part of a machine that placement fills before tasks stop fitting. */
  private static final double PACKING = 0.9;

  /** Time for which a surplus must last before it leaves the pool. */
  private static final long SURPLUS_MILLISECONDS = 1_200;

  /** Time after which an order without effect is given up. */
  private static final long ORDER_MILLISECONDS = 4_000;

  /** Time before an expected turn at which machines are fetched: a move, and time to be reached. */
  private static final long LEAD_MILLISECONDS = 2_200;

  /** Time before an expected turn from which a pool lends no more machines. */
  private static final long LENDING_MILLISECONDS = 4_000;

  /** Machine that a pool keeps between its turns beside those of its lasting tasks. */
  private static final int RESERVE_MACHINES = 1;

  private static final long REPORT_MILLISECONDS = 1_000;

  private final WorkerBook workers;
  private final MachineBook machines;
  private final JobBook jobs;
  private final WaveConductor waves;
  private final Outbox outbox;
  private final Map<MachineId, Move> moves = new LinkedHashMap<>();
  private final TurnForecast forecast = new TurnForecast();
  private final MachineHomes homes;
  private final Map<PoolId, Long> surplusSince = new HashMap<>();
  private long reportedAt = Long.MIN_VALUE / 2;

  private record Move(PoolId pool, long orderedAt) {}

  PoolPlanner(
      WorkerBook workers, MachineBook machines, JobBook jobs, WaveConductor waves, Outbox outbox) {
    this.workers = workers;
    this.machines = machines;
    this.homes = new MachineHomes(machines);
    this.jobs = jobs;
    this.waves = waves;
    this.outbox = outbox;
  }

  /** Takes what an earlier scheduler learnt. */
  void restore(PoolHistory history) {
    homes.restore(history);
    forecast.restore(history);
  }

  private void recordHistory() {
    PoolHistory.Builder history = PoolHistory.newBuilder();
    homes.record(history);
    forecast.record(history);
    outbox.poolHistoryChanged(history.build());
  }

  /** Orders the moves that the load asks for. */
  void advance(FleetDeclaration declaration, long now, long timeOfDay) {
    noteEffects(now);
    if (machines.isEmpty()) {
      return;
    }
    boolean learnt = homes.note();
    Map<PoolId, PoolLoad> loads = loads(timeOfDay);
    Map<PoolId, PoolMembers> pools = members(declaration);
    Optional<PoolMembers> standby =
        pools.values().stream().filter(members -> members.pool.standby()).findFirst();
    ResourceVector size = typicalCapacity();
    for (PoolMembers members : pools.values()) {
      if (!members.pool.standby()) {
        PoolLoad load = loads.getOrDefault(members.pool.id(), new PoolLoad());
        double share =
            load.batch().dominantPart(size) / Math.max(1, homes.count(members.pool.id()));
        learnt |= forecast.observe(members.pool.id(), share, timeOfDay);
        members.asked = machinesFor(load.total(), size);
        members.need = need(members, load, size, timeOfDay);
        setLendingFloors(members, load, size, timeOfDay);
      }
    }
    if (learnt) {
      recordHistory();
    }
    for (PoolMembers members : byShortage(pools)) {
      if (!members.pool.standby()) {
        fillShortage(members, pools, standby, now);
      }
    }
    if (standby.isPresent()) {
      returnSurplus(pools, standby.get(), now);
    }
    cordonMoving();
    report(pools, loads, now);
  }

  /** Load that waits goes before machines that are kept for a load that may come. */
  private static List<PoolMembers> byShortage(Map<PoolId, PoolMembers> pools) {
    List<PoolMembers> sorted = new ArrayList<>(pools.values());
    sorted.sort(Comparator.comparingInt((PoolMembers members) -> members.count - members.asked));
    return sorted;
  }

  /**
   * Returns the machines that a pool needs now. A pool that had its turn and is not due again soon
   * keeps what its lasting tasks and a small reserve ask for; the others keep their own machines.
   */
  private int need(PoolMembers members, PoolLoad load, ResourceVector size, long timeOfDay) {
    PoolId pool = members.pool.id();
    int home = homes.count(pool);
    if (forecast.isInTurn(pool) || forecast.isDue(pool, timeOfDay, LEAD_MILLISECONDS)) {
      return Math.max(members.asked, home);
    }
    int resident = machinesFor(load.lasting(), size);
    return Math.max(members.asked, Math.min(home, resident + RESERVE_MACHINES));
  }

  /**
   * A pool that is not due lends all but its reserve. One whose turns are not known may rise at any
   * moment, but a load that waits elsewhere is certain, so it helps with half of what it can spare.
   */
  private void setLendingFloors(
      PoolMembers members, PoolLoad load, ResourceVector size, long timeOfDay) {
    PoolId pool = members.pool.id();
    int resident = machinesFor(load.lasting(), size);
    int lowest = Math.min(members.need, Math.max(members.asked, resident + RESERVE_MACHINES));
    boolean lends = forecast.mayLend(pool, timeOfDay, LENDING_MILLISECONDS);
    members.lendingFloor = lends ? lowest : members.need;
    members.helpingFloor =
        forecast.isUnknown(pool)
            ? Math.min(members.lendingFloor, (members.need + lowest + 1) / 2)
            : members.lendingFloor;
  }

  private static int machinesFor(ResourceVector load, ResourceVector size) {
    return (int) Math.ceil(load.dominantPart(size) / PACKING);
  }

  private void noteEffects(long now) {
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
              boolean expired = now - entry.getValue().orderedAt() > ORDER_MILLISECONDS;
              return listedLater && arrived || expired;
            });
  }

  private Map<PoolId, PoolLoad> loads(long timeOfDay) {
    Map<PoolId, PoolLoad> loads = new HashMap<>();
    for (Job job : jobs.all()) {
      if (job.isOpen()) {
        loads.computeIfAbsent(job.pool, pool -> new PoolLoad()).add(job, timeOfDay);
      }
    }
    return loads;
  }

  private Map<PoolId, PoolMembers> members(FleetDeclaration declaration) {
    Map<PoolId, PoolMembers> pools = new TreeMap<>();
    for (Pool pool : declaration.pools()) {
      pools.put(pool.id(), new PoolMembers(pool));
    }
    for (Machine machine : machines.all()) {
      Move move = moves.get(machine.id());
      PoolMembers members = pools.get(move == null ? machine.pool() : move.pool());
      if (members == null || machine.state() == Machine.State.DOWN) {
        continue;
      }
      members.count++;
      boolean movable =
          move == null
              && machine.state() == Machine.State.UP
              && !waves.isHandling(machine.id())
              && !waves.isPlanned(machine.id());
      if (movable && isIdle(machine, members.pool)) {
        members.idle.add(machine);
      }
    }
    return pools;
  }

  private boolean isIdle(Machine machine, Pool pool) {
    if (pool.standby()) {
      return true;
    }
    Optional<Worker> worker = machine.worker().flatMap(workers::newest);
    return worker.isPresent() && worker.get().isUsable() && worker.get().tasks.isEmpty();
  }

  /** Returns the capacity of most machines; pools of different machines do not exchange them. */
  private ResourceVector typicalCapacity() {
    Map<ResourceVector, Integer> counts = new HashMap<>();
    ResourceVector typical = ResourceVector.ZERO;
    int most = 0;
    for (Machine machine : machines.all()) {
      int count = counts.merge(machine.capacity(), 1, Integer::sum);
      if (count > most) {
        most = count;
        typical = machine.capacity();
      }
    }
    return typical;
  }

  private void fillShortage(
      PoolMembers members,
      Map<PoolId, PoolMembers> pools,
      Optional<PoolMembers> standby,
      long now) {
    int missing = members.need - members.count;
    if (missing <= 0) {
      return;
    }
    missing = take(standby.map(found -> found.idle).orElse(List.of()), missing, members, now);
    for (PoolMembers donor : pools.values()) {
      missing -= lend(donor, donor.lendingFloor, members, missing, now);
    }
    int overload = members.asked - members.count;
    for (PoolMembers donor : pools.values()) {
      overload -= lend(donor, donor.helpingFloor, members, overload, now);
    }
  }

  /** Moves up to the wanted number of a pool's machines above a floor; returns how many. */
  private int lend(PoolMembers donor, int floor, PoolMembers target, int wanted, long now) {
    int lent = Math.min(donor.count - floor, wanted);
    if (donor == target || donor.pool.standby() || lent <= 0) {
      return 0;
    }
    int left = take(donor.idle, lent, target, now);
    donor.count -= lent - left;
    return lent - left;
  }

  /** Moves up to the wanted number of machines; returns how many are still wanted. */
  private int take(List<Machine> idle, int wanted, PoolMembers target, long now) {
    int left = wanted;
    while (left > 0 && !idle.isEmpty()) {
      order(idle.removeLast(), target.pool.id(), now);
      target.count++;
      left--;
    }
    return left;
  }

  private void order(Machine machine, PoolId pool, long now) {
    moves.put(machine.id(), new Move(pool, now));
    outbox.now(new SchedulerCommand.MoveMachine(machine.id(), pool));
    logger.atInfo().log(
        "event=machine_moving machine=%s from=%s to=%s", machine.id(), machine.pool(), pool);
  }

  private void returnSurplus(Map<PoolId, PoolMembers> pools, PoolMembers standby, long now) {
    for (PoolMembers members : pools.values()) {
      if (members.pool.standby() || members.count <= members.need) {
        surplusSince.remove(members.pool.id());
        continue;
      }
      long since = surplusSince.computeIfAbsent(members.pool.id(), pool -> now);
      if (now - since >= SURPLUS_MILLISECONDS) {
        take(members.idle, members.count - members.need, standby, now);
      }
    }
  }

  private void cordonMoving() {
    for (MachineId machine : moves.keySet()) {
      machines
          .find(machine)
          .flatMap(Machine::worker)
          .flatMap(workers::newest)
          .filter(worker -> !worker.report.pool().equals(moves.get(machine).pool()))
          .ifPresent(worker -> worker.cordoned = true);
    }
  }

  /** Takes the platform's answer to an order. */
  void answered(MachineId machine, MachineOutcome outcome) {
    if (outcome != MachineOutcome.DONE && outcome != MachineOutcome.UNKNOWN) {
      moves.remove(machine);
    }
  }

  private void report(Map<PoolId, PoolMembers> pools, Map<PoolId, PoolLoad> loads, long now) {
    if (now - reportedAt < REPORT_MILLISECONDS) {
      return;
    }
    reportedAt = now;
    for (PoolMembers members : pools.values()) {
      PoolLoad load = loads.getOrDefault(members.pool.id(), new PoolLoad());
      logger.atInfo().log(
          "event=pool_state pool=%s machines=%d idle=%d need=%d lasting_millicores=%d"
              + " running_millicores=%d waiting_millicores=%d waiting_tasks=%d",
          members.pool.id(),
          members.count,
          members.idle.size(),
          members.need,
          load.lasting().processorMillicores(),
          load.running().processorMillicores(),
          load.waiting().processorMillicores(),
          load.waitingTasks());
    }
  }
}
