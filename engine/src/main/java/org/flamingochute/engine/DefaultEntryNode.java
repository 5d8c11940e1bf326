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
 * Implements the entry node on the interfaces of the platform.
 *
 * <p>The node starts no threads. It runs on the threads that complete the futures of the platform's
 * interfaces and that run the timers, so that the same code runs on event loops and with a virtual
 * clock.
 */
public final class DefaultEntryNode implements EntryNode {

  private final EntryNodeComponents components;
  private final GracefulStop stop;

  private DefaultEntryNode(EntryNodeSettings settings) {
    this.components = new EntryNodeComponents(settings);
    this.stop = new GracefulStop(components, settings.timers(), settings.settings().getTiming());
  }

  /** Creates a node that is not started. */
  public static DefaultEntryNode create(EntryNodeSettings settings) {
    return new DefaultEntryNode(settings);
  }

  @Override
  public void start() {
    components.peers.start();
    components.follower.start();
    components.listObserver.start();
    components.membership.join();
    components.placers.start();
    components.maintenance.start();
  }

  @Override
  public CompletableFuture<Void> stop() {
    return stop.begin();
  }

  @Override
  public boolean isReady() {
    return components.gate.isReady();
  }

  @Override
  public CompletableFuture<CallerOutcome> request(CallerRequest request) {
    return components.requests.request(request);
  }

  @Override
  public CompletableFuture<Either<ErrorReport, JobImage>> submitJob(
      String key, JobSubmissionBody job) {
    return components.jobs.submit(key, job);
  }

  @Override
  public Either<ErrorReport, JobImage> job(String key, JobId job) {
    return components.jobs.job(key, job);
  }

  @Override
  public CompletableFuture<Either<ErrorReport, Void>> cancelJobs(String key, List<JobId> jobs) {
    return components.jobs.cancel(key, jobs);
  }

  @Override
  public Either<ErrorReport, Void> authorizeOperator(String operator, String operatorKey) {
    return components.operators.authorize(operator, operatorKey);
  }

  @Override
  public CompletableFuture<Either<ErrorReport, AuditEntry>> patch(
      String operatorKey, FleetPatch patch) {
    return components.operators.patch(operatorKey, patch);
  }

  @Override
  public AgreedView agreed() {
    return components.agreed;
  }

  @Override
  public StatusReport status() {
    return components.status.report();
  }
}
