package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.PoolHistory;
import org.flamingochute.schema.scheduling.WaveProgress;

/** Collects what the next batch holds. */
final class Outbox {
  private final Set<Job> changed = new LinkedHashSet<>();
  private final List<JobId> forgotten = new ArrayList<>();
  private Map<Long, WaveProgress> waves = new LinkedHashMap<>();
  private Optional<PoolHistory> poolHistory = Optional.empty();
  private List<SchedulerCommand> immediate = new ArrayList<>();
  private List<SchedulerCommand> afterRecording = new ArrayList<>();

  void changed(Job job) {
    changed.add(job);
  }

  void forget(JobId job) {
    forgotten.add(job);
  }

  void waveChanged(long wave, WaveProgress progress) {
    waves.put(wave, progress);
  }

  void poolHistoryChanged(PoolHistory newest) {
    poolHistory = Optional.of(newest);
  }

  void now(SchedulerCommand command) {
    immediate.add(command);
  }

  void afterRecording(SchedulerCommand command) {
    afterRecording.add(command);
  }

  boolean isEmpty() {
    return immediate.isEmpty()
        && afterRecording.isEmpty()
        && changed.isEmpty()
        && forgotten.isEmpty()
        && waves.isEmpty()
        && poolHistory.isEmpty();
  }

  /** Returns the commands that need no record, and forgets them. */
  List<SchedulerCommand> takeImmediate() {
    List<SchedulerCommand> taken = immediate;
    immediate = new ArrayList<>();
    return taken;
  }

  /** Returns everything collected, and forgets it. */
  SchedulerBatch take() {
    Map<JobId, JobProgress> records = new LinkedHashMap<>();
    for (Job job : changed) {
      records.put(job.id, job.toProgress());
    }
    final List<JobId> dropped = List.copyOf(forgotten);
    final List<SchedulerCommand> after = afterRecording;
    final Map<Long, WaveProgress> changedWaves = waves;
    final Optional<PoolHistory> changedHistory = poolHistory;
    changed.clear();
    forgotten.clear();
    afterRecording = new ArrayList<>();
    waves = new LinkedHashMap<>();
    poolHistory = Optional.empty();
    return new SchedulerBatch(
        takeImmediate(), records, dropped, changedWaves, changedHistory, after);
  }
}
