package org.flamingochute.scheduling.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskProgress;

/** The history of runs on the workers, with checks of the invariants on runs. */
final class SimulatedRuns {
  /** Time after a request from which no task may be started in the data centre. */
  private static final long EVACUATION_LIMIT_MILLISECONDS = 5_000;

  /**
   * Time after the recorded end of a job after which none of its tasks may run. It covers the lease
   * that a worker may have when it becomes unreachable, and those that former leaders renew.
   */
  private static final long LATEST_RUN_AFTER_END_MILLISECONDS = 16_000;

  private final JobTable storedJobs;
  private final boolean copiesEnabled;
  private final Map<JobId, Long> endedAt = new HashMap<>();
  private final Map<JobId, QueuedJob> submitted = new HashMap<>();
  private final Map<JobId, Long> cancelledAt = new HashMap<>();
  private final Map<TaskId, List<Success>> successesByTask = new HashMap<>();
  private final Map<TaskId, Integer> acknowledgedFailures = new HashMap<>();
  private final Map<TaskId, Integer> starts = new HashMap<>();
  private final Map<TaskId, String> lastWorker = new HashMap<>();
  private final Map<DataCentreId, Long> evacuationRequestedAt = new HashMap<>();

  /** One run that ended successfully on a worker. */
  private static final class Success {
    private final String worker;
    private final int incarnation;
    private final FinishedTask end;
    private final long at;
    private boolean acknowledged;
    private boolean startedAfterwards;

    private Success(SimulatedWorker worker, FinishedTask end, long at) {
      this.worker = worker.name;
      this.incarnation = worker.incarnation;
      this.end = end;
      this.at = at;
    }

    private boolean isOf(SimulatedWorker other, FinishedTask otherEnd) {
      return worker.equals(other.name)
          && incarnation == other.incarnation
          && end.number() == otherEnd.number();
    }
  }

  SimulatedRuns(JobTable storedJobs, boolean copiesEnabled) {
    this.storedJobs = storedJobs;
    this.copiesEnabled = copiesEnabled;
  }

  void onSubmitted(JobId id, QueuedJob job) {
    submitted.put(id, job);
  }

  void onCancelled(JobId id, long now) {
    cancelledAt.putIfAbsent(id, now);
  }

  /**
   * Records that a worker started a run.
   *
   * @param onTime true if the current leader sent the start and it was not held up
   */
  void onStarted(
      SchedulerCommand.StartTask start, SimulatedWorker worker, boolean onTime, long now) {
    TaskId task = start.task();
    starts.merge(task, 1, Integer::sum);
    lastWorker.put(task, worker.name);
    checkSource(start);
    checkDependencies(task);
    checkNotEvacuated(task, worker, now);
    Long cancelled = cancelledAt.get(task.job());
    if (onTime && cancelled != null && cancelled < now) {
      throw new AssertionError(
          task + " starts at " + now + " though its job was cancelled at " + cancelled);
    }
    for (Success success : successesByTask.getOrDefault(task, List.of())) {
      success.startedAfterwards = true;
      if (success.acknowledged) {
        throw new AssertionError(task + " starts after its end was acknowledged");
      }
    }
    int limit = Math.max(1, submitted.get(task.job()).getPolicy().getMaximumAttempts());
    boolean isBudgeted = limit > 1 && !isLongRunning(task);
    if (isBudgeted && acknowledgedFailures.getOrDefault(task, 0) >= limit) {
      throw new AssertionError(task + " starts after " + limit + " failures were acknowledged");
    }
  }

  private void checkSource(SchedulerCommand.StartTask start) {
    QueuedJob job = submitted.get(start.task().job());
    if (job == null || !job.getPayload().equals(start.payload())) {
      throw new AssertionError(start.task() + " starts with another payload");
    }
    String checkpoint = start.checkpoint();
    if (!checkpoint.isEmpty() && !checkpoint.startsWith(start.task() + "#")) {
      throw new AssertionError(start.task() + " starts with the checkpoint " + checkpoint);
    }
  }

  private void checkDependencies(TaskId task) {
    for (int dependency : stepOf(task).getDependenciesList()) {
      for (int index = 0; index < stepOf(task, dependency).getCount(); index++) {
        TaskId needed = new TaskId(task.job(), task.occurrence(), dependency, index);
        if (!successesByTask.containsKey(needed) && !stepOf(needed).getGang()) {
          throw new AssertionError(task + " starts before " + needed + " is done");
        }
      }
    }
  }

  void onEvacuationRequested(DataCentreId dataCentre, long now) {
    evacuationRequestedAt.putIfAbsent(dataCentre, now);
  }

  void onEvacuationEnded(DataCentreId dataCentre) {
    evacuationRequestedAt.remove(dataCentre);
  }

  private void checkNotEvacuated(TaskId task, SimulatedWorker worker, long now) {
    Long requestedAt = evacuationRequestedAt.get(worker.dataCentre);
    if (requestedAt != null && now - requestedAt >= EVACUATION_LIMIT_MILLISECONDS) {
      throw new AssertionError(
          "%s starts on %s at %d though its data centre is to be evacuated since %d"
              .formatted(task, worker.name, now, requestedAt));
    }
  }

  /** Returns whether a task runs until it is cancelled and is restarted however it ends. */
  boolean isLongRunning(TaskId task) {
    return stepOf(task).getLongRunning();
  }

  QueuedStep stepOf(TaskId task) {
    return stepOf(task, task.step());
  }

  private QueuedStep stepOf(TaskId task, int step) {
    return submitted.get(task.job()).getSteps(step);
  }

  /** Records that a run ended. */
  void onEnded(SimulatedWorker worker, FinishedTask end, long now) {
    if (end.reason() != EndReason.DONE || isLongRunning(end.task())) {
      return;
    }
    Success success = new Success(worker, end, now);
    successesByTask.computeIfAbsent(end.task(), task -> new ArrayList<>()).add(success);
  }

  /**
   * Records that a worker may forget an end; fails if a successful one is not in the store, or if
   * its task was started again. An end does not count if the worker's lease has expired since.
   */
  void onAcknowledged(SimulatedWorker worker, FinishedTask end) {
    if (end.reason() == EndReason.FAILED) {
      acknowledgedFailures.merge(end.task(), 1, Integer::sum);
      return;
    }
    for (Success success : successesByTask.getOrDefault(end.task(), List.of())) {
      if (!success.isOf(worker, end) || worker.lapsedAt >= success.at) {
        continue;
      }
      success.acknowledged = true;
      // A copy may start while the success of the first run is not known to the leader yet.
      if (success.startedAfterwards && !mayHaveCopies(end.task())) {
        throw new AssertionError(
            end.task() + " was started after its end, which was acknowledged later");
      }
      if (!isRecordedDone(end.task())) {
        throw new AssertionError(end.task() + " is not recorded, but its end is acknowledged");
      }
    }
  }

  private boolean isRecordedDone(TaskId task) {
    Optional<JobProgress> progress = storedJobs.find(task.job()).flatMap(StoredJob::progress);
    if (storedJobs.find(task.job()).isEmpty()) {
      return true;
    }
    if (progress.isEmpty()) {
      return false;
    }
    if (progress.get().getPhase() != JobProgress.Phase.OPEN) {
      return true;
    }
    for (TaskProgress recorded : progress.get().getTasksList()) {
      boolean isSame =
          recorded.getOccurrence() == task.occurrence()
              && recorded.getStep() == task.step()
              && recorded.getIndex() == task.index();
      if (isSame) {
        return recorded.getPhase() == TaskProgress.Phase.DONE;
      }
    }
    return false;
  }

  int startsOf(TaskId task) {
    return starts.getOrDefault(task, 0);
  }

  String lastWorkerOf(TaskId task) {
    return lastWorker.getOrDefault(task, "none");
  }

  /** Returns whether a task may have two runs at once. */
  private boolean mayHaveCopies(TaskId task) {
    QueuedStep step = stepOf(task);
    return copiesEnabled
        && step.getSpeculative()
        && !step.getLongRunning()
        && !step.getGang()
        && !step.getFiller();
  }

  /**
   * Fails if a task runs on more workers at once than its step allows, or long after the end of its
   * job.
   */
  void checkRunning(Collection<SimulatedWorker> workers, long now) {
    Map<TaskId, List<String>> running = new HashMap<>();
    for (SimulatedWorker worker : workers) {
      for (SimulatedWorker.Run run : worker.runs()) {
        List<String> workersOfTask = running.computeIfAbsent(run.task, task -> new ArrayList<>(1));
        workersOfTask.add(worker.name);
        if (workersOfTask.size() > (mayHaveCopies(run.task) ? 2 : 1)) {
          throw new AssertionError(run.task + " runs on " + workersOfTask + " at " + now);
        }
        checkJobHasNotEnded(run.task, worker, now);
      }
    }
  }

  /** Fails if the runs of a team, copies included, use more processor time than its cap allows. */
  void checkCaps(Collection<SimulatedWorker> workers, FleetDeclaration declaration, long now) {
    Map<TeamId, Long> usedMillicores = new HashMap<>();
    for (SimulatedWorker worker : workers) {
      for (SimulatedWorker.Run run : worker.runs()) {
        String team = submitted.get(run.task.job()).getOrganisation();
        if (!team.isEmpty()) {
          usedMillicores.merge(
              new TeamId(team), (long) stepOf(run.task).getProcessorMillicores(), Long::sum);
        }
      }
    }
    usedMillicores.forEach(
        (team, used) -> {
          long cap =
              declaration.team(team).map(found -> found.cap().processorMillicores()).orElse(0L);
          if (cap > 0 && used > cap) {
            throw new AssertionError(
                "%s uses %d of %d millicores at %d".formatted(team, used, cap, now));
          }
        });
  }

  private void checkJobHasNotEnded(TaskId task, SimulatedWorker worker, long now) {
    boolean ended =
        storedJobs
            .find(task.job())
            .flatMap(StoredJob::progress)
            .filter(progress -> progress.getPhase() != JobProgress.Phase.OPEN)
            .isPresent();
    if (!ended) {
      return;
    }
    long since = endedAt.computeIfAbsent(task.job(), job -> now);
    if (now - since > LATEST_RUN_AFTER_END_MILLISECONDS) {
      throw new AssertionError(
          task + " runs on " + worker.name + " at " + now + ", its job has ended by " + since);
    }
  }
}
