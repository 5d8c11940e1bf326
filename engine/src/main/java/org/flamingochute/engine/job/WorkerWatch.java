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
 * Renews the leases of running tasks, and finds out which have ended.
 *
 * <p>Each look at a worker renews and lists its tasks. An attempt that the list does not show is
 * asked for by itself, unless it is just being sent; a worker that answers that it never began it
 * refuses it from then on, so the attempt can be recorded as not run. A worker that does not answer
 * proves nothing; only one that the platform shows as gone ends its attempts, as unknown, once the
 * leases of its tasks are over.
 */
final class WorkerWatch {

  private final AgreedView agreed;
  private final WorkerControl workers;
  private final AttemptStarter starter;
  private final AttemptEnds ends;
  private final MetricRegistry metrics;
  private final long leaseMilliseconds;
  private final Timers timers;
  private final Map<InstanceId, Long> goneMilliseconds = new HashMap<>();
  private final Map<InstanceId, Long> lookedMilliseconds = new HashMap<>();
  private final Set<InstanceId> looking = new HashSet<>();
  private final Set<AttemptId> stopping = new HashSet<>();

  WorkerWatch(JobParts parts, AttemptStarter starter, AttemptEnds ends, long leaseMilliseconds) {
    this.agreed = parts.agreed();
    this.workers = parts.workers();
    this.starter = starter;
    this.ends = ends;
    this.metrics = parts.metrics();
    this.timers = parts.timers();
    this.leaseMilliseconds = leaseMilliseconds;
  }

  /**
   * Looks at every worker that has running attempts of the jobs.
   *
   * @param interval shortest time between two looks at a worker
   */
  void look(Iterable<JobImage> running, Duration interval) {
    Map<InstanceId, List<JobImage>> byWorker = new HashMap<>();
    for (JobImage job : running) {
      byWorker.computeIfAbsent(new InstanceId(job.getWorker()), key -> new ArrayList<>()).add(job);
    }
    byWorker.forEach((worker, jobs) -> lookAt(worker, jobs, interval));
  }

  /** Stops a running attempt; its end is recorded from the worker's answer. */
  void stop(JobImage job) {
    AttemptId attempt = AttemptId.newest(job);
    Optional<InstanceImage> worker = agreed.instance(new InstanceId(job.getWorker()));
    if (worker.isEmpty() || starter.isSending(attempt) || !beginStop(attempt)) {
      return;
    }
    metrics.counter("jobs.stops").inc();
    workers
        .stop(worker.get().getObserved().getAddress(), attempt.job().value(), attempt.attempt())
        .thenAccept(answer -> takeStopped(job, attempt, answer));
  }

  /** Tells whether the attempt is being stopped. */
  synchronized boolean isStopping(AttemptId attempt) {
    return stopping.contains(attempt);
  }

  private void lookAt(InstanceId worker, List<JobImage> jobs, Duration interval) {
    Optional<InstanceImage> instance = agreed.instance(worker);
    boolean gone =
        instance.isEmpty()
            || instance.get().getObserved().getState() == InstanceState.INSTANCE_GONE;
    if (gone) {
      takeGone(worker, jobs);
      return;
    }
    noteHere(worker);
    if (!beginLook(worker, interval)) {
      return;
    }
    String address = instance.get().getObserved().getAddress();
    workers
        .renew(address, leaseMilliseconds)
        .thenAccept(answer -> takeListing(worker, address, jobs, answer));
  }

  /** A worker that the list shows as gone may be cut off; its tasks end with their leases. */
  private void takeGone(InstanceId worker, List<JobImage> jobs) {
    long now = timers.monotonicMilliseconds();
    long since;
    synchronized (this) {
      since = goneMilliseconds.computeIfAbsent(worker, key -> now);
    }
    if (now - since > leaseMilliseconds) {
      jobs.forEach(ends::takeWorkerGone);
    }
  }

  private synchronized void noteHere(InstanceId worker) {
    goneMilliseconds.remove(worker);
  }

  private void takeListing(
      InstanceId worker,
      String address,
      List<JobImage> jobs,
      Either<PlatformError, TaskListing> answer) {
    endLook(worker);
    if (answer.isLeft()) {
      metrics.counter("jobs.failed_renewals").inc();
      return;
    }
    Map<AttemptId, TaskStatus> listed = new HashMap<>();
    for (TaskStatus status : answer.get().getTasksList()) {
      listed.put(new AttemptId(new JobId(status.getJob()), status.getAttempt()), status);
    }
    for (JobImage job : jobs) {
      takeListed(address, job, listed.get(AttemptId.newest(job)));
    }
  }

  private void takeListed(String address, JobImage job, TaskStatus status) {
    AttemptId attempt = AttemptId.newest(job);
    if (!isStillRunning(job) || ends.isRecording(attempt) || starter.isSending(attempt)) {
      return;
    }
    if (status == null) {
      workers
          .status(address, attempt.job().value(), attempt.attempt())
          .thenAccept(answer -> takeStatus(job, answer));
      return;
    }
    if (status.getPhase() == TaskPhase.TASK_RUNNING && job.getCancelRequested()) {
      stop(job);
      return;
    }
    ends.takeStatus(job, status);
  }

  private void takeStatus(JobImage job, Either<PlatformError, TaskStatus> answer) {
    if (answer.isRight() && isStillRunning(job)) {
      ends.takeStatus(job, answer.get());
    }
  }

  private void takeStopped(
      JobImage job, AttemptId attempt, Either<PlatformError, TaskStatus> answer) {
    if (answer.isRight() && isStillRunning(job)) {
      ends.takeStatus(job, answer.get());
    }
    endStop(attempt);
  }

  private boolean isStillRunning(JobImage job) {
    Optional<JobImage> now = agreed.job(new JobId(job.getSubmitted().getJob()));
    return now.isPresent()
        && now.get().getPhase() == job.getPhase()
        && now.get().getAttempts() == job.getAttempts();
  }

  private synchronized boolean beginLook(InstanceId worker, Duration interval) {
    long now = timers.monotonicMilliseconds();
    Long last = lookedMilliseconds.get(worker);
    if (last != null && now - last < interval.toMillis()) {
      return false;
    }
    if (!looking.add(worker)) {
      return false;
    }
    lookedMilliseconds.put(worker, now);
    return true;
  }

  private synchronized void endLook(InstanceId worker) {
    looking.remove(worker);
  }

  private synchronized boolean beginStop(AttemptId attempt) {
    return stopping.add(attempt);
  }

  private synchronized void endStop(AttemptId attempt) {
    stopping.remove(attempt);
  }
}
