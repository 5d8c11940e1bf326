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

/** One entry: accepts requests, jobs and patches, and cooperates with its peers. */
public interface EntryNode {

  /** Joins the members, follows the log and accepts work once it is fresh. */
  void start();

  /**
   * Stops gracefully: refuses new work, transfers tokens and claims to peers, finishes the work in
   * flight and leaves the members.
   */
  CompletableFuture<Void> stop();

  /** Returns whether new work would be accepted now. */
  boolean isReady();

  /** Serves one request; the future never completes exceptionally. */
  CompletableFuture<CallerOutcome> request(CallerRequest request);

  /**
   * Submits a job for the team of the key; completes after the job's record was read back.
   *
   * @param key the team's key as sent by the caller
   */
  CompletableFuture<Either<ErrorReport, JobImage>> submitJob(String key, JobSubmissionBody job);

  /** Returns a job of the team of the key. */
  Either<ErrorReport, JobImage> job(String key, JobId job);

  /** Cancels jobs of the team of the key. */
  CompletableFuture<Either<ErrorReport, Void>> cancelJobs(String key, List<JobId> jobs);

  /**
   * Checks that an operator may read.
   *
   * @return the reason as a left value if the operator is refused, otherwise an empty right value
   */
  Either<ErrorReport, Void> authorizeOperator(String operator, String operatorKey);

  /** Applies a patch; completes with its audit entry after the patch's record was read back. */
  CompletableFuture<Either<ErrorReport, AuditEntry>> patch(String operatorKey, FleetPatch patch);

  /** Returns the agreed state as known to this entry. */
  AgreedView agreed();

  /** Returns the status of the entry, pools, teams, stops and waves, as known to this entry. */
  StatusReport status();
}
