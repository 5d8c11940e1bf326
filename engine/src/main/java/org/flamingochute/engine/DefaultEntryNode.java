package org.flamingochute.engine;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobSubmissionBody;
import org.flamingochute.schema.StatusReport;

/**
 * The entry node over the interfaces of the platform.
 *
 * <p>It starts no thread. It runs on the threads that complete the futures of the platform's
 * interfaces and that run the timers, so that the same code runs on event loops and under a virtual
 * clock.
 */
public final class DefaultEntryNode implements EntryNode {

  private final EntryNodeParts parts;
  private final GracefulStop stop;

  private DefaultEntryNode(EntryNodeSettings settings) {
    this.parts = new EntryNodeParts(settings);
    this.stop = new GracefulStop(parts, settings.timers(), settings.settings().getTiming());
  }

  /** Creates a node that has not yet begun. */
  public static DefaultEntryNode create(EntryNodeSettings settings) {
    return new DefaultEntryNode(settings);
  }

  @Override
  public void start() {
    parts.peers.start();
    parts.follower.start();
    parts.listObserver.start();
    parts.membership.join();
    parts.placers.start();
    parts.maintenance.start();
  }

  @Override
  public CompletableFuture<Void> stop() {
    return stop.begin();
  }

  @Override
  public boolean isReady() {
    return parts.gate.isReady();
  }

  @Override
  public CompletableFuture<CallerOutcome> request(CallerRequest request) {
    return parts.requests.request(request);
  }

  @Override
  public CompletableFuture<Either<ErrorReport, JobImage>> submitJob(
      String key, JobSubmissionBody job) {
    return parts.jobs.submit(key, job);
  }

  @Override
  public Either<ErrorReport, JobImage> job(String key, JobId job) {
    return parts.jobs.job(key, job);
  }

  @Override
  public CompletableFuture<Either<ErrorReport, Void>> cancelJobs(String key, List<JobId> jobs) {
    return parts.jobs.cancel(key, jobs);
  }

  @Override
  public Either<ErrorReport, Void> authorizeOperator(String operator, String operatorKey) {
    return parts.operators.authorize(operator, operatorKey);
  }

  @Override
  public CompletableFuture<Either<ErrorReport, AuditEntry>> patch(
      String operatorKey, FleetPatch patch) {
    return parts.operators.patch(operatorKey, patch);
  }

  @Override
  public AgreedView agreed() {
    return parts.agreed;
  }

  @Override
  public StatusReport status() {
    return parts.status.report();
  }
}
