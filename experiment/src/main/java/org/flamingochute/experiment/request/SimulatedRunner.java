package org.flamingochute.experiment.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.EventQueue;

/**
 * A runner that processes one request per slot and queues further requests in order of arrival, as
 * long as it has a free connection for them.
 */
final class SimulatedRunner {

  /** The outcome of a request at a runner. */
  enum Outcome {
    ANSWERED,
    /** All connections were in use, or the deadline passed while the request was queued. */
    NOT_RUN
  }

  private final EventQueue events;
  private final Deque<PendingRequest> waitingRequests = new ArrayDeque<>();
  private int activeRequests;
  private double busySlotMilliseconds;
  private int queuedRequestCount;

  SimulatedRunner(EventQueue events) {
    this.events = events;
  }

  void accept(double serviceMilliseconds, double deadlineMilliseconds, Consumer<Outcome> callback) {
    PendingRequest pending =
        new PendingRequest(serviceMilliseconds, deadlineMilliseconds, callback);
    if (activeRequests < Company.SLOTS_PER_RUNNER) {
      startRequest(pending);
      return;
    }
    if (activeRequests + waitingRequests.size() >= Company.CONNECTIONS_PER_RUNNER) {
      callback.accept(Outcome.NOT_RUN);
      return;
    }
    queuedRequestCount++;
    waitingRequests.add(pending);
  }

  private void startRequest(PendingRequest pending) {
    activeRequests++;
    busySlotMilliseconds += pending.serviceMilliseconds();
    events.schedule(pending.serviceMilliseconds(), () -> finishRequest(pending));
  }

  private void finishRequest(PendingRequest pending) {
    activeRequests--;
    pending.callback().accept(Outcome.ANSWERED);
    while (activeRequests < Company.SLOTS_PER_RUNNER && !waitingRequests.isEmpty()) {
      PendingRequest next = waitingRequests.poll();
      if (next.deadlineMilliseconds() <= events.nowMilliseconds()) {
        next.callback().accept(Outcome.NOT_RUN);
      } else {
        startRequest(next);
      }
    }
  }

  double busySlotMilliseconds() {
    return busySlotMilliseconds;
  }

  int queuedRequestCount() {
    return queuedRequestCount;
  }

  private record PendingRequest(
      double serviceMilliseconds, double deadlineMilliseconds, Consumer<Outcome> callback) {}
}
