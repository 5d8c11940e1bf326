package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.MachineId;

/**
 * Keeps two leaders from commanding the same machine shortly after one another.
 *
 * <p>A leader records the machines that it is about to command before it commands them. Its
 * successor commands those machines only once the predecessor's commands are long enough ago, and
 * all others at once. A successor that does not know the record of its direct predecessor waits
 * with all machines.
 */
final class MachineCommandFence {
  /** Shortest time between two records that only drop machines whose commands are long ago. */
  private static final long CLEANUP_INTERVAL_MILLISECONDS = 1_000;

  private final long inheritedUntil;
  private final long retentionMilliseconds;
  private final Outbox outbox;

  /** True while the predecessor may have commanded any machine. */
  private boolean predecessorUnknown = true;

  /** Machines that the predecessor may have commanded. */
  private final Set<MachineId> inherited = new HashSet<>();

  /** Times of this leader's own commands. */
  private final Map<MachineId, Long> decidedOrSentAt = new LinkedHashMap<>();

  /** True if the record lacks a machine, or if there is no record of this term yet. */
  private boolean incomplete = true;

  /** True if the record contains machines whose commands are long ago. */
  private boolean outdated;

  private long recordedAt;

  /**
   * Creates a fence that holds back all machines.
   *
   * @param inheritedUntil time from which all commands of the predecessor are long enough ago
   * @param retentionMilliseconds time after a command for which its machine stays in the record
   */
  MachineCommandFence(long inheritedUntil, long retentionMilliseconds, Outbox outbox) {
    this.inheritedUntil = inheritedUntil;
    this.retentionMilliseconds = retentionMilliseconds;
    this.outbox = outbox;
  }

  /** Restores the record of the direct predecessor; only its machines are held back then. */
  void restore(List<MachineId> commandedMachines) {
    predecessorUnknown = false;
    inherited.addAll(commandedMachines);
  }

  /** Returns whether at least one machine may be commanded. */
  boolean allowsSome(long now) {
    return !predecessorUnknown || now >= inheritedUntil;
  }

  /** Returns whether every machine may be commanded. */
  boolean allowsAll(long now) {
    return now >= inheritedUntil;
  }

  /** Returns whether a machine may be commanded. */
  boolean allows(MachineId machine, long now) {
    return now >= inheritedUntil || !predecessorUnknown && !inherited.contains(machine);
  }

  /** Notes a machine that will be commanded once this is recorded. */
  void onCommand(MachineId machine, long now) {
    decidedOrSentAt.put(machine, now);
    incomplete = true;
  }

  /**
   * Returns whether a command may still be sent, and if so notes the time. To be called directly
   * before it is sent. A record that waited for the store may be followed by one without the
   * machine; a command sent then would be unknown to a successor.
   */
  boolean trySend(MachineId machine, long now) {
    return decidedOrSentAt.computeIfPresent(machine, (commanded, time) -> now) != null;
  }

  /** Has the machines recorded if the newest record is incomplete, or has been outdated a while. */
  void update(long now) {
    removeExpired(now);
    // While any machine may have been commanded, a list would be incomplete for a successor.
    boolean cleanupDue = outdated && now - recordedAt >= CLEANUP_INTERVAL_MILLISECONDS;
    if (predecessorUnknown || !incomplete && !cleanupDue) {
      return;
    }
    List<MachineId> machines = new ArrayList<>(inherited);
    machines.addAll(decidedOrSentAt.keySet());
    outbox.recordMachineCommands(machines);
    incomplete = false;
    outdated = false;
    recordedAt = now;
  }

  private void removeExpired(long now) {
    if (now >= inheritedUntil) {
      predecessorUnknown = false;
      outdated |= !inherited.isEmpty();
      inherited.clear();
    }
    outdated |= decidedOrSentAt.values().removeIf(time -> now - time >= retentionMilliseconds);
  }
}
