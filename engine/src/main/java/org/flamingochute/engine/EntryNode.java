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

/** One entry: takes requests, jobs and patches, and acts together with its peers. */
public interface EntryNode {

  /** Joins the members, follows the log and begins to take work once it is fresh. */
  void start();

  /**
   * Stops gracefully: refuses new work, hands over tokens and claims, finishes the work in flight
   * and leaves the members.
   */
  CompletableFuture<Void> stop();

  /** Tells whether new work would be taken now. */
  boolean isReady();

  /** Serves one request; the future never completes exceptionally. */
  CompletableFuture<CallerOutcome> request(CallerRequest request);

  /**
   * Submits a job for the team of the key. Completes after the job's record was read back.
   *
   * @param key the team's key as presented
   */
  CompletableFuture<Either<ErrorReport, JobImage>> submitJob(String key, JobSubmissionBody job);

  /** Returns a job of the team of the key. */
  Either<ErrorReport, JobImage> job(String key, JobId job);

  /** Cancels jobs of the team of the key. */
  CompletableFuture<Either<ErrorReport, Void>> cancelJobs(String key, List<JobId> jobs);

  /**
   * Checks that an operator may look.
   *
   * @return the report to refuse with, or nothing
   */
  Either<ErrorReport, Void> authorizeOperator(String operator, String operatorKey);

  /** Applies a patch. Completes after the patch's record was read back, with its audit entry. */
  CompletableFuture<Either<ErrorReport, AuditEntry>> patch(String operatorKey, FleetPatch patch);

  /** Returns the agreed state as this entry knows it. */
  AgreedView agreed();

  /** Returns what this entry knows of pools, teams, stops and waves. */
  StatusReport status();
}
