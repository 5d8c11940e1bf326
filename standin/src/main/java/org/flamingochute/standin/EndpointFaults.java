package org.flamingochute.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.schema.EndpointFault;
import org.flamingochute.schema.EndpointFaultKind;
import org.flamingochute.schema.FaultSettings;

/** The faults of runners and workers that are still to happen. */
public final class EndpointFaults {

  private static final Set<EndpointFaultKind> WORKER_FAULTS =
      Set.of(EndpointFaultKind.WORKER_FAILS, EndpointFaultKind.WORKER_CANNOT_RUN);

  private final List<EndpointFault> faults = new ArrayList<>();

  /** Replaces the faults. */
  public synchronized void apply(FaultSettings settings) {
    faults.clear();
    faults.addAll(settings.getEndpointsList());
  }

  /** Takes the fault that the next request at a runner suffers. */
  public Optional<EndpointFault> nextOfRunner(String instance) {
    return next(instance, false);
  }

  /** Takes the fault that the next task at a worker suffers. */
  public Optional<EndpointFault> nextOfWorker(String instance) {
    return next(instance, true);
  }

  private synchronized Optional<EndpointFault> next(String instance, boolean worker) {
    for (int i = 0; i < faults.size(); i++) {
      EndpointFault fault = faults.get(i);
      boolean everywhere = fault.getInstance().isEmpty();
      if (!everywhere && !fault.getInstance().equals(instance)) {
        continue;
      }
      if (WORKER_FAULTS.contains(fault.getKind()) != worker) {
        continue;
      }
      countDown(i, fault);
      return Optional.of(fault);
    }
    return Optional.empty();
  }

  private void countDown(int index, EndpointFault fault) {
    if (fault.getCount() == 1) {
      faults.remove(index);
      return;
    }
    if (fault.getCount() > 1) {
      faults.set(index, fault.toBuilder().setCount(fault.getCount() - 1).build());
    }
  }
}
