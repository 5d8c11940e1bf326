package org.flamingochute.scheduling.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;

/**
 * Renews the leases of simulated workers for a leader, and acknowledges their finished runs.
 *
 * <p>As the product does, it has one renewal for each incarnation under way at a time, and sends an
 * acknowledgement once and only directly after a status of the incarnation.
 */
final class SimulatedRenewals {
  private final SimulatedLeader leader;
  private final SimulatedNetwork network;
  private final SimulatedExecution execution;
  private final long leaseMilliseconds;
  private final Map<WorkerKey, Session> sessions = new HashMap<>();

  private static final class Session {
    private long lastRecorded;
    private long lastAcknowledged;
    private boolean renewed;
    private boolean renewing;
  }

  SimulatedRenewals(
      SimulatedLeader leader,
      SimulatedNetwork network,
      SimulatedExecution execution,
      long leaseMilliseconds) {
    this.leader = leader;
    this.network = network;
    this.execution = execution;
    this.leaseMilliseconds = leaseMilliseconds;
  }

  /** Acknowledges finished runs up to the given number with a later renewal. */
  void acknowledge(WorkerKey worker, long number) {
    Session session = session(worker);
    session.lastRecorded = Math.max(session.lastRecorded, number);
  }

  private Session session(WorkerKey worker) {
    return sessions.computeIfAbsent(worker, key -> new Session());
  }

  void renewAll() {
    List.copyOf(leader.scheduler.workersToRenew()).forEach(this::renew);
  }

  /** Renews the lease of a worker, if the scheduler asks for it. */
  void renew(InstanceId worker) {
    for (WorkerReport report : leader.scheduler.workersToRenew()) {
      if (report.key().id().equals(worker)) {
        renew(report);
        return;
      }
    }
  }

  private void renew(WorkerReport report) {
    WorkerKey key = report.key();
    Session session = session(key);
    if (session.renewing) {
      return;
    }
    boolean extending = !leader.scheduler.isUnreachable(key);
    long sentAt = leader.now();
    if (extending) {
      leader.scheduler.onLeaseSent(key, sentAt);
    }
    boolean acknowledges = session.renewed && session.lastRecorded > session.lastAcknowledged;
    long acknowledgement = acknowledges ? session.lastRecorded : 0;
    session.renewing = true;
    Function<SimulatedWorker, WorkerStatus> renewal =
        worker -> {
          if (worker.accepts(leader.epoch)) {
            execution.recordAcknowledged(worker, acknowledgement);
          }
          long deadline =
              extending
                  ? worker.leaseDeadline(key, sentAt + leaseMilliseconds, execution.now())
                  : 0;
          return worker.renew(leader.epoch, deadline, acknowledgement);
        };
    Consumer<CallResult<WorkerStatus>> handler =
        result -> leader.receive(() -> onResult(key, result, sentAt, acknowledgement));
    if (extending || acknowledges) {
      network.callIncarnation(key, report.address(), network.nextFate(), renewal, handler);
    } else {
      network.callAnyIncarnation(key.id(), report.address(), renewal, handler);
    }
  }

  private void onResult(
      WorkerKey key, CallResult<WorkerStatus> result, long sentAt, long acknowledgement) {
    Session session = session(key);
    session.renewing = false;
    boolean gone = result instanceof CallResult.Gone<WorkerStatus>;
    Optional<WorkerStatus> response =
        result instanceof CallResult.Answered<WorkerStatus> answered
            ? Optional.of(answered.response())
            : Optional.empty();
    if (response.isEmpty()) {
      session.renewed = false;
      leader.scheduler.onRenewalFailed(key, gone, "no answer");
      return;
    }
    if (response.get() == SimulatedWorker.FENCED) {
      leader.end();
      return;
    }
    session.renewed = true;
    session.lastAcknowledged = Math.max(session.lastAcknowledged, acknowledgement);
    leader.scheduler.onLeaseRenewed(key, response.get(), sentAt, leader.now(), leader.now());
  }
}
