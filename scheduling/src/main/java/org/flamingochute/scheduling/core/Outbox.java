package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.PoolHistory;
import org.flamingochute.schema.scheduling.WaveProgress;

/** Collects records to write and commands to send until they are taken as a batch. */
final class Outbox {
  private final Set<Job> changedJobs = new LinkedHashSet<>();
  private final List<JobId> expiredJobs = new ArrayList<>();
  private final List<JobId> deletedJobs = new ArrayList<>();
  private Map<Long, WaveProgress> changedWaves = new LinkedHashMap<>();
  private Optional<PoolHistory> poolHistory = Optional.empty();
  private Optional<List<MachineId>> machineCommands = Optional.empty();
  private List<SchedulerCommand> immediateCommands = new ArrayList<>();
  private List<SchedulerCommand> commandsAfterRecording = new ArrayList<>();

  void markChanged(Job job) {
    changedJobs.add(job);
  }

  /** Has the definition and the cancellation of an ended job deleted. */
  void expireJob(JobId job) {
    expiredJobs.add(job);
  }

  /** Has the progress of a job deleted whose definition is gone. */
  void deleteProgress(JobId job) {
    deletedJobs.add(job);
  }

  void recordWave(long wave, WaveProgress progress) {
    changedWaves.put(wave, progress);
  }

  void recordPoolHistory(PoolHistory newest) {
    poolHistory = Optional.of(newest);
  }

  /** Has the machines recorded that may have been commanded lately. */
  void recordMachineCommands(List<MachineId> machines) {
    machineCommands = Optional.of(List.copyOf(machines));
  }

  void sendNow(SchedulerCommand command) {
    immediateCommands.add(command);
  }

  void sendAfterRecording(SchedulerCommand command) {
    commandsAfterRecording.add(command);
  }

  boolean isEmpty() {
    return immediateCommands.isEmpty()
        && commandsAfterRecording.isEmpty()
        && changedJobs.isEmpty()
        && expiredJobs.isEmpty()
        && deletedJobs.isEmpty()
        && changedWaves.isEmpty()
        && poolHistory.isEmpty()
        && machineCommands.isEmpty();
  }

  /** Removes and returns the commands that need no record. */
  List<SchedulerCommand> takeImmediateCommands() {
    List<SchedulerCommand> takenCommands = immediateCommands;
    immediateCommands = new ArrayList<>();
    return takenCommands;
  }

  /** Removes and returns everything collected so far. */
  SchedulerBatch takeBatch() {
    Map<JobId, JobProgress> records = new LinkedHashMap<>();
    for (Job job : changedJobs) {
      records.put(job.id, job.toProgress());
    }
    final List<JobId> takenExpirations = List.copyOf(expiredJobs);
    final List<JobId> takenDeletions = List.copyOf(deletedJobs);
    final List<SchedulerCommand> takenCommands = commandsAfterRecording;
    final Map<Long, WaveProgress> takenWaves = changedWaves;
    final Optional<PoolHistory> takenHistory = poolHistory;
    final Optional<List<MachineId>> takenMachineCommands = machineCommands;
    changedJobs.clear();
    expiredJobs.clear();
    deletedJobs.clear();
    commandsAfterRecording = new ArrayList<>();
    changedWaves = new LinkedHashMap<>();
    poolHistory = Optional.empty();
    machineCommands = Optional.empty();
    return new SchedulerBatch(
        takeImmediateCommands(),
        records,
        takenExpirations,
        takenDeletions,
        takenWaves,
        takenHistory,
        takenMachineCommands,
        takenCommands);
  }
}
