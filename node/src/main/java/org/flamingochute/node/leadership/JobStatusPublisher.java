package org.flamingochute.node.leadership;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.ScheduleWriter;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.JobStatus;

/**
 * Writes what callers see of the jobs to a topic of its own, for the nodes that follow only that.
 *
 * <p>A status is written after the progress that it is derived from is durable. A new leader writes
 * the status of every job again, since its predecessor may have ended in between; a late append of
 * the predecessor is refused by then, because it has a lower epoch. Used on one event loop.
 */
final class JobStatusPublisher {
  /** Batches changes, so that the number of appends stays small under load. */
  private static final long BATCHING_DELAY_MILLISECONDS = 40;

  private final Eventloop loop;
  private final ScheduleWriter writer;
  private final Map<JobId, JobStatus> newest = new HashMap<>();

  /** Records that are not being appended yet, by key. */
  private final Map<String, KeyedValue> pending = new LinkedHashMap<>();

  private boolean flushScheduled;
  private boolean stopped;

  JobStatusPublisher(Eventloop loop, ScheduleWriter writer) {
    this.loop = loop;
    this.writer = writer;
  }

  /** Writes the status of all jobs that a predecessor recorded, and makes its appends fail. */
  void start(Collection<StoredJob> jobs) {
    for (StoredJob job : jobs) {
      job.progress().ifPresent(progress -> publish(job.id(), progress));
    }
    // The load that the predecessor observed; it also makes sure that there is a record to append.
    pending.put(ScheduleKeys.FLEET_LOAD, KeyedValue.tombstone(ScheduleKeys.FLEET_LOAD));
    writer.append(takePending(), this::scheduleFlush);
  }

  /** Writes the statuses that follow from durable progress, and deletes those of deleted jobs. */
  void onRecorded(Map<JobId, JobProgress> records, List<JobId> deletedJobs) {
    records.forEach(this::publish);
    for (JobId job : deletedJobs) {
      newest.remove(job);
      add(KeyedValue.tombstone(ScheduleKeys.status(job)));
    }
  }

  /** Writes the load of the pools. */
  void publish(FleetLoad load) {
    add(new KeyedValue(ScheduleKeys.FLEET_LOAD, load.toByteArray()));
  }

  private void publish(JobId job, JobProgress progress) {
    boolean isNew = progress.getPhase() == JobProgress.Phase.OPEN && progress.getTasksCount() == 0;
    if (isNew) {
      return;
    }
    JobStatus status =
        JobStatus.newBuilder().setPhase(progress.getPhase()).setStarted(true).build();
    if (!status.equals(newest.put(job, status))) {
      add(new KeyedValue(ScheduleKeys.status(job), status.toByteArray()));
    }
  }

  private void add(KeyedValue record) {
    pending.put(record.key(), record);
    scheduleFlush();
  }

  private void scheduleFlush() {
    if (flushScheduled || stopped || writer.isBusy() || pending.isEmpty()) {
      return;
    }
    flushScheduled = true;
    loop.delay(BATCHING_DELAY_MILLISECONDS, this::flush);
  }

  private void flush() {
    flushScheduled = false;
    if (!stopped && !pending.isEmpty()) {
      writer.append(takePending(), this::scheduleFlush);
    }
  }

  private List<KeyedValue> takePending() {
    List<KeyedValue> taken = new ArrayList<>(pending.values());
    pending.clear();
    return taken;
  }

  /** Writes no more. */
  void stop() {
    stopped = true;
    writer.stop();
  }
}
