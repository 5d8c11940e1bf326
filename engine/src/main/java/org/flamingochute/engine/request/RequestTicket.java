package org.flamingochute.engine.request;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.engine.CallerRequest;

/**
 * One request in this entry, from its admission to its outcome.
 *
 * <p>The ticket records whether an attempt of an idempotent request may have run. From then on no
 * refusal reports the request as not run.
 */
final class RequestTicket {

  private final CallerRequest request;
  private final TeamId team;
  private final long deadlineMilliseconds;
  private final CompletableFuture<CallerOutcome> outcome = new CompletableFuture<>();
  private final Set<InstanceId> failedEndpoints = new HashSet<>();
  private int attempts;
  private int failures;
  private boolean possiblyRun;

  /**
   * Creates a ticket.
   *
   * @param deadlineMilliseconds monotonic time of the caller's timeout
   */
  RequestTicket(CallerRequest request, TeamId team, long deadlineMilliseconds) {
    this.request = request;
    this.team = team;
    this.deadlineMilliseconds = deadlineMilliseconds;
  }

  CallerRequest request() {
    return request;
  }

  TeamId team() {
    return team;
  }

  long deadlineMilliseconds() {
    return deadlineMilliseconds;
  }

  CompletableFuture<CallerOutcome> outcome() {
    return outcome;
  }

  /** Counts an attempt and returns the number of attempts so far. */
  synchronized int countAttempt() {
    attempts++;
    return attempts;
  }

  synchronized int attempts() {
    return attempts;
  }

  /** Counts an attempt that failed for another reason than a busy endpoint. */
  synchronized void countFailure() {
    failures++;
  }

  synchronized int failures() {
    return failures;
  }

  synchronized void markPossiblyRun() {
    possiblyRun = true;
  }

  synchronized void addFailedEndpoint(InstanceId endpoint) {
    failedEndpoints.add(endpoint);
  }

  synchronized Set<InstanceId> failedEndpoints() {
    return Set.copyOf(failedEndpoints);
  }

  /** Completes the ticket with the endpoint's response. */
  void completeAnswered(CallerOutcome.Answered answered) {
    outcome.complete(answered);
  }

  /**
   * Completes the ticket without a response: as not run, or as unknown if an attempt may have run.
   */
  void refuse(ErrorReport report) {
    boolean isOutcomeUnknown;
    synchronized (this) {
      isOutcomeUnknown = possiblyRun;
    }
    if (isOutcomeUnknown) {
      outcome.complete(
          new CallerOutcome.Unknown(ErrorReport.of(ErrorCode.OUTCOME_UNKNOWN, report.message())));
      return;
    }
    outcome.complete(new CallerOutcome.NotRun(report));
  }

  /** Completes the ticket with an unknown outcome. */
  void failUnknown(String detail) {
    outcome.complete(new CallerOutcome.Unknown(ErrorReport.of(ErrorCode.OUTCOME_UNKNOWN, detail)));
  }
}
