package org.flamingochute.scheduling.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.scheduling.worker.WorkerKey;

/** The workers that are listed in the store or may still run tasks. */
final class WorkerRegistry {
  private final Map<WorkerKey, Worker> workers = new LinkedHashMap<>();
  private final Map<InstanceId, Worker> newest = new HashMap<>();

  void add(Worker worker) {
    workers.put(worker.key, worker);
    newest.put(worker.key.id(), worker);
  }

  void remove(Worker worker) {
    workers.remove(worker.key, worker);
    newest.remove(worker.key.id(), worker);
  }

  Optional<Worker> find(WorkerKey key) {
    return Optional.ofNullable(workers.get(key));
  }

  /** Returns the newest incarnation of a worker. */
  Optional<Worker> newest(InstanceId id) {
    return Optional.ofNullable(newest.get(id));
  }

  Collection<Worker> all() {
    return workers.values();
  }
}
