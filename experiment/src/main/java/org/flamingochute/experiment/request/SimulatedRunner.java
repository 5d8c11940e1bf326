package org.flamingochute.experiment.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.EventQueue;

/** A runner: works on as many requests as it has slots, and keeps others waiting in order. */
final class SimulatedRunner {

  /** How a runner ended a request. */
  enum End {
    ANSWERED,
    NOT_RUN
  }

  private final EventQueue events;
  private final Deque<Pending> waiting = new ArrayDeque<>();
  private int working;
  private double busySlotMilliseconds;
  private int queuedRequests;

  SimulatedRunner(EventQueue events) {
    this.events = events;
  }

  void accept(double serviceMilliseconds, double deadlineMilliseconds, Consumer<End> reply) {
    Pending pending = new Pending(serviceMilliseconds, deadlineMilliseconds, reply);
    if (working < Company.SLOTS) {
      begin(pending);
      return;
    }
    if (working + waiting.size() >= Company.CONNECTIONS) {
      reply.accept(End.NOT_RUN);
      return;
    }
    queuedRequests++;
    waiting.add(pending);
  }

  private void begin(Pending pending) {
    working++;
    busySlotMilliseconds += pending.serviceMilliseconds();
    events.after(pending.serviceMilliseconds(), () -> end(pending));
  }

  private void end(Pending pending) {
    working--;
    pending.reply().accept(End.ANSWERED);
    while (working < Company.SLOTS && !waiting.isEmpty()) {
      Pending next = waiting.poll();
      if (next.deadlineMilliseconds() <= events.now()) {
        next.reply().accept(End.NOT_RUN);
      } else {
        begin(next);
      }
    }
  }

  double busySlotMilliseconds() {
    return busySlotMilliseconds;
  }

  int queuedRequests() {
    return queuedRequests;
  }

  private record Pending(
      double serviceMilliseconds, double deadlineMilliseconds, Consumer<End> reply) {}
}
