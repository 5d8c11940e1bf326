package org.flamingochute.scheduling.core;

import java.util.Optional;
import org.flamingochute.scheduling.fleet.Machine;

/** The effect of workers that are slow for a while after their start. */
final class ColdWorkers {
  /** Cold machines that count as one in the size of a pool. */
  private static final int COLD_MACHINES_PER_MACHINE = 2;

  private ColdWorkers() {}

  /** Returns whether a worker is still slow after its start. */
  static boolean isCold(Worker worker, long now) {
    return worker.report.coldUntil() > now;
  }

  /** Returns whether the worker of a machine is cold. */
  static boolean isCold(Machine machine, WorkerRegistry workers, long now) {
    Optional<Worker> worker = machine.worker().flatMap(workers::find);
    return worker.isPresent() && isCold(worker.get(), now);
  }

  /** Returns whether placement ranks a worker behind others for its speed. */
  static boolean countsAsSlow(Worker worker, long now) {
    return worker.slow || isCold(worker, now);
  }

  /** Returns by how much the given number of cold machines reduces the size of a pool. */
  static int reduction(int coldMachines) {
    return coldMachines - coldMachines / COLD_MACHINES_PER_MACHINE;
  }
}
