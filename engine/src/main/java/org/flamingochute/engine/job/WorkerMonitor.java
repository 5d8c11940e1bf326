package org.flamingochute.engine.job;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.WorkerControl;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.TaskListing;
import org.flamingochute.schema.TaskPhase;
import org.flamingochute.schema.TaskStatus;

/**
 * Renews the leases of running tasks and detects which have ended.
 *
 * <p>Each poll of a worker renews the leases of its tasks and lists them. The status of an attempt
 * that is missing from the list is queried separately, unless the attempt is being sent; a worker
 * that reports that it never began an attempt refuses it from then on, so the attempt can be
 * recorded as not run. If a worker does not respond, its attempts stay running. Only the attempts
 * of a worker that the platform lists as gone, or that the agreed state no longer has, are recorded
 * as unknown, after the leases of its tasks have expired.
 */
final class WorkerMonitor {

  private final AgreedView agreed;
  private final WorkerControl workers;
  private final AttemptStarter starter;
  private final AttemptEndRecorder endRecorder;
  private final MetricRegistry metrics;
  private final long leaseMilliseconds;
  private final Timers timers;
  private final Map<InstanceId, Long> goneSinceMilliseconds = new HashMap<>();
  private final Map<InstanceId, Long> lastPollMilliseconds = new HashMap<>();
  private final Set<InstanceId> polling = new HashSet<>();
  private final Set<AttemptId> stopping = new HashSet<>();

  WorkerMonitor(
      JobDependencies dependencies,
      AttemptStarter starter,
      AttemptEndRecorder endRecorder,
      long leaseMilliseconds) {
    this.agreed = dependencies.agreed();
    this.workers = dependencies.workers();
    this.starter = starter;
    this.endRecorder = endRecorder;
    this.metrics = dependencies.metrics();
    this.timers = dependencies.timers();
    this.leaseMilliseconds = leaseMilliseconds;
  }

  /**
   * Polls every worker with running attempts of the jobs.
   *
   * @param interval minimum time between two polls of a worker
   */
  void poll(Iterable<JobImage> running, Duration interval) {
    Map<InstanceId, List<JobImage>> byWorker = new HashMap<>();
    for (JobImage job : running) {
      byWorker.computeIfAbsent(new InstanceId(job.getWorker()), key -> new ArrayList<>()).add(job);
    }
    byWorker.forEach((worker, jobs) -> pollWorker(worker, jobs, interval));
  }

  /** Stops a running attempt; its end is recorded from the worker's response. */
  void stop(JobImage job) {
    AttemptId attempt = AttemptId.newest(job);
    Optional<InstanceImage> worker = agreed.instance(new InstanceId(job.getWorker()));
    if (worker.isEmpty() || starter.isSending(attempt) || !beginStop(attempt)) {
      return;
    }
    metrics.counter("jobs.stops").inc();
    workers
        .stop(worker.get().getObserved().getAddress(), attempt.job().value(), attempt.attempt())
        .thenAccept(result -> handleStopResult(job, attempt, result));
  }

  /** Returns whether the attempt is being stopped. */
  synchronized boolean isStopping(AttemptId attempt) {
    return stopping.contains(attempt);
  }

  private void pollWorker(InstanceId worker, List<JobImage> jobs, Duration interval) {
    Optional<InstanceImage> instance = agreed.instance(worker);
    boolean isGone =
        instance.isEmpty()
            || instance.get().getObserved().getState() == InstanceState.INSTANCE_GONE;
    if (isGone) {
      handleGone(worker, jobs);
      return;
    }
    markPresent(worker);
    if (!beginPoll(worker, interval)) {
      return;
    }
    String address = instance.get().getObserved().getAddress();
    workers
        .renew(address, leaseMilliseconds)
        .thenAccept(result -> handleListing(worker, address, jobs, result));
  }

  /**
   * A worker that is listed as gone may merely be unreachable; its tasks end when their leases
   * expire.
   */
  private void handleGone(InstanceId worker, List<JobImage> jobs) {
    long now = timers.monotonicMilliseconds();
    long since;
    synchronized (this) {
      since = goneSinceMilliseconds.computeIfAbsent(worker, key -> now);
    }
    if (now - since > leaseMilliseconds) {
      jobs.forEach(endRecorder::recordWorkerGone);
    }
  }

  private synchronized void markPresent(InstanceId worker) {
    goneSinceMilliseconds.remove(worker);
  }

  private void handleListing(
      InstanceId worker,
      String address,
      List<JobImage> jobs,
      Either<PlatformError, TaskListing> result) {
    finishPoll(worker);
    if (result.isLeft()) {
      metrics.counter("jobs.failed_renewals").inc();
      return;
    }
    Map<AttemptId, TaskStatus> listed = new HashMap<>();
    for (TaskStatus status : result.get().getTasksList()) {
      listed.put(new AttemptId(new JobId(status.getJob()), status.getAttempt()), status);
    }
    for (JobImage job : jobs) {
      handleListed(address, job, listed.get(AttemptId.newest(job)));
    }
  }

  private void handleListed(String address, JobImage job, TaskStatus status) {
    AttemptId attempt = AttemptId.newest(job);
    if (!isStillRunning(job) || endRecorder.isRecording(attempt) || starter.isSending(attempt)) {
      return;
    }
    if (status == null) {
      workers
          .status(address, attempt.job().value(), attempt.attempt())
          .thenAccept(result -> handleStatus(job, result));
      return;
    }
    if (status.getPhase() == TaskPhase.TASK_RUNNING && job.getCancelRequested()) {
      stop(job);
      return;
    }
    endRecorder.recordStatus(job, status);
  }

  private void handleStatus(JobImage job, Either<PlatformError, TaskStatus> result) {
    if (result.isRight() && isStillRunning(job)) {
      endRecorder.recordStatus(job, result.get());
    }
  }

  private void handleStopResult(
      JobImage job, AttemptId attempt, Either<PlatformError, TaskStatus> result) {
    if (result.isRight() && isStillRunning(job)) {
      endRecorder.recordStatus(job, result.get());
    }
    finishStop(attempt);
  }

  private boolean isStillRunning(JobImage job) {
    Optional<JobImage> current = agreed.job(new JobId(job.getSubmitted().getJob()));
    return current.isPresent()
        && current.get().getPhase() == job.getPhase()
        && current.get().getAttempts() == job.getAttempts();
  }

  private synchronized boolean beginPoll(InstanceId worker, Duration interval) {
    long now = timers.monotonicMilliseconds();
    Long last = lastPollMilliseconds.get(worker);
    if (last != null && now - last < interval.toMillis()) {
      return false;
    }
    if (!polling.add(worker)) {
      return false;
    }
    lastPollMilliseconds.put(worker, now);
    return true;
  }

  private synchronized void finishPoll(InstanceId worker) {
    polling.remove(worker);
  }

  private synchronized boolean beginStop(AttemptId attempt) {
    return stopping.add(attempt);
  }

  private synchronized void finishStop(AttemptId attempt) {
    stopping.remove(attempt);
  }
}
