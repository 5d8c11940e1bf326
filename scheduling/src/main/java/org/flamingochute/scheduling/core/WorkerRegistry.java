package org.flamingochute.scheduling.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.scheduling.worker.WorkerKey;

/**
 * The workers that are listed in the store or may still run tasks, each with the newest incarnation
 * that is known.
 */
final class WorkerRegistry {
  private final Map<InstanceId, Worker> workers = new LinkedHashMap<>();

  void add(Worker worker) {
    workers.put(worker.key.id(), worker);
  }

  void remove(Worker worker) {
    workers.remove(worker.key.id(), worker);
  }

  /** Returns the newest known incarnation of a worker. */
  Optional<Worker> find(InstanceId id) {
    return Optional.ofNullable(workers.get(id));
  }

  /** Returns an incarnation of a worker, unless a newer one is known. */
  Optional<Worker> find(WorkerKey key) {
    return find(key.id()).filter(worker -> worker.key.equals(key));
  }

  Collection<Worker> all() {
    return workers.values();
  }
}
