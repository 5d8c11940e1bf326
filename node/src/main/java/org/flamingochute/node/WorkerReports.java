package org.flamingochute.node;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.WireException;
import org.flamingochute.platform.wire.WorkerReportCodec;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.worker.WorkerReport;

/**
 * The newest report of each worker, as far as it names one.
 *
 * <p>The topic of reports may hold entries of other writers, also under the id of a worker. Such an
 * entry cannot be decoded, or names a pool that no declaration has; it says nothing about the
 * worker, whose last report holds. A report of a pool that is not declared yet is kept aside until
 * it is. Before the first declaration, reports of all pools are accepted and then checked. Used on
 * one event loop.
 */
final class WorkerReports {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Maximum number of unlisted workers whose last reports are kept. */
  private static final int MAXIMUM_UNLISTED_WORKERS = 256;

  private final NodeClock clock;
  private final Consumer<Consumer<FleetState.Listener>> notifier;
  private final Map<InstanceId, WorkerReport> listed = new HashMap<>();

  /** Offsets of the newest reports of workers that were cold when they wrote them. */
  private final Map<InstanceId, Long> coldReportOffsets = new HashMap<>();

  /** Last reports of workers that are no longer listed, the oldest first. */
  private final Map<InstanceId, WorkerReport> unlisted =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<InstanceId, WorkerReport> eldest) {
          return size() > MAXIMUM_UNLISTED_WORKERS;
        }
      };

  /** Pools that a declaration has named, also those that the newest one does not name. */
  private final Set<PoolId> declaredPools = new HashSet<>();

  /** Newest entries under the keys of workers that name a pool which is not declared. */
  private final Map<InstanceId, ReadReport> undeclared = new HashMap<>();

  private record ReadReport(WorkerReport report, long offset) {}

  /**
   * Creates an empty set of reports.
   *
   * @param notifier passes a change to the listener, if there is one
   */
  WorkerReports(NodeClock clock, Consumer<Consumer<FleetState.Listener>> notifier) {
    this.clock = clock;
    this.notifier = notifier;
  }

  /** Returns the newest report of each listed worker. */
  Collection<WorkerReport> listed() {
    return Collections.unmodifiableCollection(listed.values());
  }

  /** Returns the last reports of workers that are no longer listed. */
  Collection<WorkerReport> unlisted() {
    return Collections.unmodifiableCollection(unlisted.values());
  }

  /** Returns the listener for the topic of reports. */
  TopicListener listener() {
    return new TopicListener() {
      @Override
      public void onSnapshot(List<StoreRecord> records) {
        Set<String> present = new HashSet<>();
        for (StoreRecord record : records) {
          if (!record.isTombstone()) {
            present.add(record.key());
          }
          apply(record);
        }
        undeclared.keySet().removeIf(worker -> !present.contains(worker.value()));
        for (InstanceId known : Set.copyOf(listed.keySet())) {
          if (!present.contains(known.value())) {
            remove(known);
          }
        }
      }

      @Override
      public void onRecord(StoreRecord record) {
        apply(record);
      }
    };
  }

  /** Applies the pools of a new declaration. */
  void onDeclared(FleetDeclaration declaration) {
    final boolean isFirst = declaredPools.isEmpty();
    for (Pool pool : declaration.pools()) {
      declaredPools.add(pool.id());
    }
    if (isFirst) {
      Set.copyOf(listed.values()).stream()
          .filter(report -> !isDeclared(report))
          .forEach(report -> holdBackListed(report.key().id()));
    }
    for (Map.Entry<InstanceId, ReadReport> entry : Map.copyOf(undeclared).entrySet()) {
      if (isDeclared(entry.getValue().report())) {
        undeclared.remove(entry.getKey());
        list(entry.getValue());
      }
    }
  }

  private boolean isDeclared(WorkerReport report) {
    return declaredPools.isEmpty() || declaredPools.contains(report.pool());
  }

  /** Takes back a report that was accepted before its pool could be checked. */
  private void holdBackListed(InstanceId worker) {
    long offset = coldReportOffsets.getOrDefault(worker, 0L);
    WorkerReport report = listed.get(worker);
    remove(worker);
    unlisted.remove(worker);
    holdBack(new ReadReport(report, offset));
  }

  private void holdBack(ReadReport read) {
    InstanceId worker = read.report().key().id();
    undeclared.put(worker, read);
    logger.atInfo().log(
        "event=worker_report_held_back worker=%s pool=%s listed=%s",
        read.report().key(), LogText.of(read.report().pool().value()), listed.containsKey(worker));
  }

  private void apply(StoreRecord record) {
    if (record.isTombstone()) {
      // No worker is known under a key that is not a valid id.
      if (Identifiers.isValid(record.key())) {
        InstanceId worker = new InstanceId(record.key());
        undeclared.remove(worker);
        remove(worker);
      }
      return;
    }
    WorkerReport report;
    try {
      report = WorkerReportCodec.read(record.key(), record.value(), clock.steadyMilliseconds());
    } catch (WireException e) {
      logger.atWarning().log(
          "event=record_unreadable key=%s offset=%d detail=\"%s\"",
          LogText.of(record.key()), record.offset(), LogText.of(e.getMessage()));
      return;
    }
    ReadReport read = new ReadReport(report, record.offset());
    if (!isDeclared(report)) {
      holdBack(read);
      return;
    }
    undeclared.remove(report.key().id());
    list(read);
  }

  private void list(ReadReport read) {
    InstanceId worker = read.report().key().id();
    WorkerReport previous = listed.get(worker);
    boolean isReadAgain = noteColdReport(read, previous);
    WorkerReport report = isReadAgain ? previous : read.report();
    listed.put(worker, report);
    unlisted.remove(worker);
    if (previous != null && report.differsInColdTimeOnly(previous)) {
      notifier.accept(receiver -> receiver.onColdTimeChanged(report));
    } else if (!report.equals(previous)) {
      notifier.accept(receiver -> receiver.onWorkerListed(report));
    }
  }

  /**
   * Notes the offset of a cold worker's record, and returns whether it is the one read last. The
   * time that is left to the worker counts from the first time the record was read.
   */
  private boolean noteColdReport(ReadReport read, WorkerReport previous) {
    InstanceId worker = read.report().key().id();
    if (read.report().coldUntil() == WorkerReport.WARM) {
      coldReportOffsets.remove(worker);
      return false;
    }
    Long offsetBefore = coldReportOffsets.put(worker, read.offset());
    return previous != null && offsetBefore != null && offsetBefore == read.offset();
  }

  private void remove(InstanceId worker) {
    coldReportOffsets.remove(worker);
    WorkerReport lastReport = listed.remove(worker);
    if (lastReport != null) {
      unlisted.put(worker, lastReport);
      notifier.accept(receiver -> receiver.onWorkerUnlisted(worker));
    }
  }
}
