package org.flamingochute.node;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.wire.DeclarationCodec;
import org.flamingochute.platform.wire.EvacuationCodec;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.WaveCodec;
import org.flamingochute.platform.wire.WireException;
import org.flamingochute.scheduling.fleet.EvacuationRequests;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.job.UndefinedCancellations;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuedJob;

/**
 * The state that this node has read from the store: the operators' declaration and waves, the
 * workers' reports, and the jobs. A record that cannot be parsed is logged and skipped. Used on one
 * event loop.
 */
public final class FleetState {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Receives changes; implemented by the leadership of the scheduler. */
  public interface Listener {
    /** Called when a new declaration is in force. */
    void onDeclarationChanged(FleetDeclaration declaration);

    /**
     * Called when operators have requested or ended the evacuation of a data centre.
     *
     * @param dataCentres all data centres that are to be evacuated now
     */
    default void onEvacuationsChanged(Set<DataCentreId> dataCentres) {}

    /** Called when operators have requested a wave. */
    void onWaveRequested(WaveRequest request);

    /** Called when a worker has written a new or changed report. */
    void onWorkerListed(WorkerReport report);

    /** Called when a worker's report differs only in the time until which the worker is cold. */
    default void onColdTimeChanged(WorkerReport report) {}

    /** Called when a worker's report has been deleted. */
    void onWorkerUnlisted(InstanceId worker);

    /** Called when a job has been stored. */
    void onJobStored(StoredJob job);

    /** Called when a job has been cancelled. */
    void onJobCancelled(JobId job);
  }

  private final NodeClock clock;
  private final EvacuationRequests evacuations;

  /** Offset of the last refused request to evacuate, by its key. */
  private final Map<String, Long> refusedEvacuations = new HashMap<>();

  private final JobTable jobs = new JobTable();
  private final UndefinedCancellations undefinedCancellations = new UndefinedCancellations();
  private final WorkerReports workers;
  private final Map<Long, WaveRequest> waves = new HashMap<>();
  private Optional<FleetDeclaration> declaration = Optional.empty();
  private Optional<Listener> listener = Optional.empty();
  private Consumer<QueuedJob> newJobListener = job -> {};

  /** Creates an empty state of a deployment whose data centres are not declared. */
  public FleetState() {
    this(new NodeClock(), Set.of());
  }

  /**
   * Creates an empty state.
   *
   * @param dataCentres all data centres, or an empty set if they are not declared
   */
  public FleetState(NodeClock clock, Set<DataCentreId> dataCentres) {
    this.clock = clock;
    this.evacuations = new EvacuationRequests(dataCentres);
    this.workers = new WorkerReports(clock, change -> listener.ifPresent(change));
  }

  /** Sets the listener for changes. */
  public void setListener(Optional<Listener> newListener) {
    listener = newListener;
  }

  /**
   * Sets the listener for jobs that were stored recently: those that become known for the first
   * time, except for those in a load of the whole topic.
   */
  public void setNewJobListener(Consumer<QueuedJob> newListener) {
    newJobListener = newListener;
  }

  /** Returns the declaration in force, or empty before the first one. */
  public Optional<FleetDeclaration> declaration() {
    return declaration;
  }

  /** Returns the jobs. */
  public JobTable jobs() {
    return jobs;
  }

  /** Returns the cancellations of jobs that are not stored. */
  public UndefinedCancellations undefinedCancellations() {
    return undefinedCancellations;
  }

  /** Returns the newest report of each listed worker. */
  public Iterable<WorkerReport> workers() {
    return workers.listed();
  }

  /** Returns the last reports of workers that are no longer listed. */
  public Iterable<WorkerReport> unlistedWorkers() {
    return workers.unlisted();
  }

  /** Returns the waves that operators requested. */
  public Iterable<WaveRequest> waves() {
    return waves.values();
  }

  /** Returns the data centres that operators want to evacuate. */
  public Set<DataCentreId> evacuatedDataCentres() {
    return evacuations.dataCentres();
  }

  /** Returns the listener for the topic of declarations. */
  public TopicListener declarationListener() {
    return new TopicListener() {
      @Override
      public void onSnapshot(List<StoreRecord> records) {
        records.forEach(FleetState.this::applyDeclaration);
        endAbsentEvacuations(records);
      }

      @Override
      public void onRecord(StoreRecord record) {
        applyDeclaration(record);
      }
    };
  }

  private void applyDeclaration(StoreRecord record) {
    Optional<String> evacuated = EvacuationCodec.dataCentreOf(record.key());
    if (evacuated.isPresent()) {
      applyEvacuation(evacuated.get(), record);
      return;
    }
    try {
      if (record.key().equals(ScheduleKeys.DECLARATION) && !record.isTombstone()) {
        applyIfNewer(DeclarationCodec.read(record.value()));
      } else if (ScheduleKeys.waveOf(record.key()).isPresent() && !record.isTombstone()) {
        WaveRequest request = WaveCodec.readRequest(record.value());
        if (waves.putIfAbsent(request.number(), request) == null) {
          logger.atInfo().log(
              "event=wave_ordered wave=%d machines=%d duration_ms=%d maximum_down=%d",
              request.number(),
              request.machines().size(),
              request.durationMilliseconds(),
              request.maximumDown());
          listener.ifPresent(receiver -> receiver.onWaveRequested(request));
        }
      }
    } catch (WireException | IllegalArgumentException e) {
      logUnreadable(record, e);
    }
  }

  private void applyEvacuation(String name, StoreRecord record) {
    if (record.isTombstone()) {
      refusedEvacuations.remove(record.key());
      if (Identifiers.isValid(name)) {
        endEvacuation(new DataCentreId(name));
      }
      return;
    }
    try {
      EvacuationCodec.checkRequest(record.value());
      DataCentreId dataCentre = new DataCentreId(name);
      if (!evacuations.isKnown(dataCentre)) {
        logRefusedEvacuation(record, "unknown data centre");
      } else if (evacuations.add(dataCentre)) {
        logger.atInfo().log("event=evacuation_requested data_centre=%s", LogText.of(name));
        notifyEvacuationsChanged();
      }
    } catch (WireException | IllegalArgumentException e) {
      logRefusedEvacuation(record, e.getMessage());
    }
  }

  /** Ends the requests that a complete read of the topic lacks, as their tombstones were missed. */
  private void endAbsentEvacuations(List<StoreRecord> records) {
    Set<String> presentKeys = new HashSet<>();
    for (StoreRecord record : records) {
      if (!record.isTombstone()) {
        presentKeys.add(record.key());
      }
    }
    refusedEvacuations.keySet().retainAll(presentKeys);
    for (DataCentreId dataCentre : evacuations.dataCentres()) {
      if (!presentKeys.contains(EvacuationCodec.keyOf(dataCentre.value()))) {
        endEvacuation(dataCentre);
      }
    }
  }

  private void endEvacuation(DataCentreId dataCentre) {
    if (evacuations.remove(dataCentre)) {
      logger.atInfo().log("event=evacuation_ended data_centre=%s", LogText.of(dataCentre.value()));
      notifyEvacuationsChanged();
    }
  }

  private void notifyEvacuationsChanged() {
    listener.ifPresent(receiver -> receiver.onEvacuationsChanged(evacuations.dataCentres()));
  }

  /** Logs a refused request once, also if its record is read again. */
  private void logRefusedEvacuation(StoreRecord record, String cause) {
    Long refusedBefore = refusedEvacuations.put(record.key(), record.offset());
    if (refusedBefore == null || refusedBefore != record.offset()) {
      logger.atWarning().log(
          "event=evacuation_refused key=\"%s\" value=\"%s\" detail=\"%s\"",
          LogText.of(record.key()),
          LogText.of(EvacuationCodec.textOf(record.value())),
          LogText.of(cause));
    }
  }

  private void applyIfNewer(FleetDeclaration newestDeclaration) {
    if (declaration.isPresent() && newestDeclaration.version() <= declaration.get().version()) {
      return;
    }
    declaration = Optional.of(newestDeclaration);
    logger.atInfo().log("event=declaration_in_force version=%d", newestDeclaration.version());
    listener.ifPresent(receiver -> receiver.onDeclarationChanged(newestDeclaration));
    workers.onDeclared(newestDeclaration);
  }

  /** Returns the listener for the topic of workers. */
  public TopicListener workerListener() {
    return workers.listener();
  }

  /**
   * Returns the listener for the intake topic. A snapshot that lacks a job which was stored before
   * the load shows that the job was deleted; jobs stored during the load may be lacking too. The
   * same holds for cancellations of jobs that are not stored.
   */
  public TopicListener intakeListener() {
    return new TopicListener() {
      private final Set<JobId> storedBeforeLoad = new HashSet<>();
      private Set<JobId> cancelledBeforeLoad = Set.of();

      @Override
      public void onLoadStarted() {
        cancelledBeforeLoad = undefinedCancellations.jobs();
        storedBeforeLoad.clear();
        for (StoredJob job : jobs.jobs()) {
          if (job.definition().isPresent()) {
            storedBeforeLoad.add(job.id());
          }
        }
      }

      @Override
      public void onSnapshot(List<StoreRecord> records) {
        Set<String> presentKeys = new HashSet<>();
        for (StoreRecord record : records) {
          if (!record.isTombstone()) {
            presentKeys.add(record.key());
          }
          applyIntake(record, job -> {});
        }
        for (JobId job : storedBeforeLoad) {
          if (!presentKeys.contains(ScheduleKeys.job(job))) {
            deleteJob(job);
          }
        }
        for (JobId job : cancelledBeforeLoad) {
          if (!presentKeys.contains(ScheduleKeys.cancellation(job))) {
            deleteCancellation(job);
          }
        }
        storedBeforeLoad.clear();
        cancelledBeforeLoad = Set.of();
      }

      @Override
      public void onRecord(StoreRecord record) {
        applyIntake(record, newJobListener);
      }
    };
  }

  private void applyIntake(StoreRecord record, Consumer<QueuedJob> newJobReceiver) {
    try {
      Optional<JobId> job = ScheduleKeys.jobOf(record.key());
      Optional<JobId> cancelled = ScheduleKeys.cancelledJobOf(record.key());
      if (record.isTombstone()) {
        job.ifPresent(this::deleteJob);
        cancelled.ifPresent(this::deleteCancellation);
      } else if (job.isPresent()) {
        applyJob(job.get(), QueuedJob.parseFrom(record.value()), newJobReceiver);
      } else if (cancelled.isPresent()) {
        applyCancellation(cancelled.get());
      }
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      logUnreadable(record, e);
    }
  }

  private void deleteJob(JobId id) {
    jobs.delete(id);
    undefinedCancellations.remove(id);
  }

  /** Forgets a cancellation; one of a stored job is deleted after the job. */
  private void deleteCancellation(JobId id) {
    jobs.deleteWithoutDefinition(id);
    undefinedCancellations.remove(id);
  }

  /** Applies a job that is durable in the store. */
  public void applyJob(JobId id, QueuedJob job) {
    applyJob(id, job, newJobListener);
  }

  private void applyJob(JobId id, QueuedJob job, Consumer<QueuedJob> newJobReceiver) {
    final boolean isNew = jobs.find(id).flatMap(StoredJob::definition).isEmpty();
    StoredJob storedJob = jobs.define(id, job);
    undefinedCancellations.remove(id);
    if (isNew) {
      newJobReceiver.accept(job);
    }
    listener.ifPresent(receiver -> receiver.onJobStored(storedJob));
  }

  /** Applies a cancellation that is durable in the store. */
  public void applyCancellation(JobId id) {
    StoredJob storedJob = jobs.cancel(id);
    if (storedJob.definition().isEmpty()) {
      undefinedCancellations.add(id, clock.steadyMilliseconds());
    }
    listener.ifPresent(receiver -> receiver.onJobCancelled(id));
  }

  private static void logUnreadable(StoreRecord record, Exception error) {
    logger.atWarning().log(
        "event=record_unreadable key=%s offset=%d detail=\"%s\"",
        LogText.of(record.key()), record.offset(), LogText.of(error.getMessage()));
  }
}
