package org.flamingochute.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.schema.EndpointFault;
import org.flamingochute.schema.EndpointFaultKind;
import org.flamingochute.schema.FaultSettings;

/** Pending faults of runners and workers. */
public final class EndpointFaults {

  private static final Set<EndpointFaultKind> WORKER_FAULTS =
      Set.of(EndpointFaultKind.WORKER_FAILS, EndpointFaultKind.WORKER_CANNOT_RUN);

  private final List<EndpointFault> faults = new ArrayList<>();

  /** Replaces all pending faults. */
  public synchronized void replaceFaults(FaultSettings settings) {
    faults.clear();
    faults.addAll(settings.getEndpointsList());
  }

  /** Returns the fault for the next request at a runner and decrements its count, if limited. */
  public Optional<EndpointFault> takeRunnerFault(String instance) {
    return takeFault(instance, false);
  }

  /** Returns the fault for the next task at a worker and decrements its count, if limited. */
  public Optional<EndpointFault> takeWorkerFault(String instance) {
    return takeFault(instance, true);
  }

  private synchronized Optional<EndpointFault> takeFault(String instance, boolean worker) {
    for (int i = 0; i < faults.size(); i++) {
      EndpointFault fault = faults.get(i);
      boolean appliesToAllInstances = fault.getInstance().isEmpty();
      if (!appliesToAllInstances && !fault.getInstance().equals(instance)) {
        continue;
      }
      if (WORKER_FAULTS.contains(fault.getKind()) != worker) {
        continue;
      }
      decrementCount(i, fault);
      return Optional.of(fault);
    }
    return Optional.empty();
  }

  private void decrementCount(int index, EndpointFault fault) {
    if (fault.getCount() == 1) {
      faults.remove(index);
      return;
    }
    if (fault.getCount() > 1) {
      faults.set(index, fault.toBuilder().setCount(fault.getCount() - 1).build());
    }
  }
}
