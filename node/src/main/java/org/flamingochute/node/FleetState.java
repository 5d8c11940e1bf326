package org.flamingochute.node;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.wire.DeclarationCodec;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.WaveCodec;
import org.flamingochute.platform.wire.WireException;
import org.flamingochute.platform.wire.WorkerReportCodec;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.WaveOrder;
import org.flamingochute.scheduling.job.JobEntry;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuedJob;

/**
 * What this entry knows from the store: the operators' declaration and waves, the workers' reports,
 * and the jobs. A record that cannot be read is skipped with a log line. Used on one event loop.
 */
public final class FleetState {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Workers that are remembered after they were listed no more. */
  private static final int REMEMBERED_WORKERS = 256;

  /** Learns of changes; the scheduler's leadership listens. */
  public interface Listener {
    /** A new declaration is in force. */
    void declared(FleetDeclaration declaration);

    /** Operators ordered a wave. */
    void waveOrdered(WaveOrder order);

    /** A worker reported. */
    void workerListed(WorkerReport report);

    /** A worker's report is gone. */
    void workerUnlisted(InstanceId worker);

    /** A job was handed in. */
    void jobStored(JobEntry entry);

    /** A job was withdrawn. */
    void jobCancelled(JobId job);
  }

  private final JobTable jobs = new JobTable();
  private final Map<InstanceId, WorkerReport> workers = new HashMap<>();

  /** Last reports of workers that are listed no more, the oldest first. */
  private final Map<InstanceId, WorkerReport> unlisted =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<InstanceId, WorkerReport> eldest) {
          return size() > REMEMBERED_WORKERS;
        }
      };

  private final Map<Long, WaveOrder> waves = new HashMap<>();
  private Optional<FleetDeclaration> declaration = Optional.empty();
  private Optional<Listener> listener = Optional.empty();

  /** Sets who learns of changes. */
  public void setListener(Optional<Listener> newest) {
    listener = newest;
  }

  /** Returns the declaration in force, or nothing before the first one. */
  public Optional<FleetDeclaration> declaration() {
    return declaration;
  }

  /** Returns the jobs. */
  public JobTable jobs() {
    return jobs;
  }

  /** Returns the newest report of each listed worker. */
  public Iterable<WorkerReport> workers() {
    return workers.values();
  }

  /** Returns the last reports of workers that are listed no more. */
  public Iterable<WorkerReport> unlistedWorkers() {
    return unlisted.values();
  }

  /** Returns the waves that operators ordered. */
  public Iterable<WaveOrder> waves() {
    return waves.values();
  }

  /** Returns the listener of the topic of declarations. */
  public TopicListener declarationListener() {
    return new TopicListener() {
      @Override
      public void snapshot(List<StoreRecord> records) {
        records.forEach(FleetState.this::applyDeclaration);
      }

      @Override
      public void record(StoreRecord record) {
        applyDeclaration(record);
      }
    };
  }

  private void applyDeclaration(StoreRecord record) {
    try {
      if (record.key().equals(ScheduleKeys.DECLARATION) && !record.isDrop()) {
        declare(DeclarationCodec.read(record.value()));
      } else if (ScheduleKeys.waveOf(record.key()).isPresent() && !record.isDrop()) {
        WaveOrder order = WaveCodec.readOrder(record.value());
        if (waves.putIfAbsent(order.number(), order) == null) {
          logger.atInfo().log(
              "event=wave_ordered wave=%d machines=%d duration_ms=%d maximum_down=%d",
              order.number(),
              order.machines().size(),
              order.durationMilliseconds(),
              order.maximumDown());
          listener.ifPresent(l -> l.waveOrdered(order));
        }
      }
    } catch (WireException | IllegalArgumentException e) {
      unreadable(record, e);
    }
  }

  private void declare(FleetDeclaration newest) {
    if (declaration.isPresent() && newest.version() <= declaration.get().version()) {
      return;
    }
    declaration = Optional.of(newest);
    logger.atInfo().log("event=declaration_in_force version=%d", newest.version());
    listener.ifPresent(l -> l.declared(newest));
  }

  /** Returns the listener of the topic of workers. */
  public TopicListener workerListener() {
    return new TopicListener() {
      @Override
      public void snapshot(List<StoreRecord> records) {
        Set<InstanceId> listed = new HashSet<>();
        for (StoreRecord record : records) {
          if (!record.isDrop()) {
            listed.add(new InstanceId(record.key()));
          }
          applyWorker(record);
        }
        for (InstanceId known : Set.copyOf(workers.keySet())) {
          if (!listed.contains(known)) {
            unlist(known);
          }
        }
      }

      @Override
      public void record(StoreRecord record) {
        applyWorker(record);
      }
    };
  }

  private void applyWorker(StoreRecord record) {
    try {
      if (record.isDrop()) {
        unlist(new InstanceId(record.key()));
        return;
      }
      WorkerReport report = WorkerReportCodec.read(record.key(), record.value());
      WorkerReport previous = workers.put(report.key().id(), report);
      unlisted.remove(report.key().id());
      if (!report.equals(previous)) {
        listener.ifPresent(l -> l.workerListed(report));
      }
    } catch (WireException | IllegalArgumentException e) {
      unreadable(record, e);
    }
  }

  private void unlist(InstanceId worker) {
    WorkerReport last = workers.remove(worker);
    if (last != null) {
      unlisted.put(worker, last);
      listener.ifPresent(l -> l.workerUnlisted(worker));
    }
  }

  /** Returns the listener of the topic of the intake. */
  public TopicListener intakeListener() {
    return new TopicListener() {
      @Override
      public void snapshot(List<StoreRecord> records) {
        records.forEach(FleetState.this::applyIntake);
      }

      @Override
      public void record(StoreRecord record) {
        applyIntake(record);
      }
    };
  }

  private void applyIntake(StoreRecord record) {
    try {
      Optional<JobId> job = ScheduleKeys.jobOf(record.key());
      Optional<JobId> cancelled = ScheduleKeys.cancelledJobOf(record.key());
      if (record.isDrop()) {
        job.ifPresent(jobs::drop);
      } else if (job.isPresent()) {
        storeJob(job.get(), QueuedJob.parseFrom(record.value()));
      } else if (cancelled.isPresent()) {
        cancelJob(cancelled.get());
      }
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      unreadable(record, e);
    }
  }

  /** Takes a job that the store holds. */
  public void storeJob(JobId id, QueuedJob job) {
    JobEntry entry = jobs.define(id, job);
    listener.ifPresent(l -> l.jobStored(entry));
  }

  /** Takes a withdrawal that the store holds. */
  public void cancelJob(JobId id) {
    jobs.cancel(id);
    listener.ifPresent(l -> l.jobCancelled(id));
  }

  private static void unreadable(StoreRecord record, Exception error) {
    logger.atWarning().log(
        "event=record_unreadable key=%s offset=%d detail=\"%s\"",
        record.key(), record.offset(), error.getMessage());
  }
}
