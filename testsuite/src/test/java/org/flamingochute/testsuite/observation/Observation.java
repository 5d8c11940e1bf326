package org.flamingochute.testsuite.observation;

import java.util.List;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.PoolAction;

/** An event that a participant outside the system observed. */
public sealed interface Observation {

  /** Returns the time in milliseconds since the start of the scenario. */
  long atMilliseconds();

  /**
   * A caller sent a request, which is one call.
   *
   * @param tag identifies the work; retries by the caller have the same tag
   * @param call identifies the call; a retry is another call
   */
  record RequestSent(
      long atMilliseconds,
      String tag,
      String call,
      String entry,
      String service,
      String keySecret,
      boolean idempotent)
      implements Observation {}

  /** A call of a caller ended, with or without a response. */
  record RequestEnded(
      long atMilliseconds, String tag, String call, ObservedOutcome outcome, String body)
      implements Observation {}

  /** A runner started a request. */
  record RunnerStartedRequest(long atMilliseconds, String runner, String tag, String team)
      implements Observation {}

  /** A request on a runner ended by itself, by its timeout or with its instance. */
  record RunnerEndedRequest(long atMilliseconds, String runner, String tag, String team)
      implements Observation {}

  /** A caller submitted a job. */
  record JobSubmissionSent(long atMilliseconds, String tag, String entry, boolean idempotent)
      implements Observation {}

  /** A job submission was acknowledged. */
  record JobAcknowledged(long atMilliseconds, String tag, String job) implements Observation {}

  /** A job submission was rejected. */
  record JobRejected(long atMilliseconds, String tag, String message) implements Observation {}

  /** The cancellation of jobs was acknowledged. */
  record JobsCancelled(long atMilliseconds, List<String> tags) implements Observation {}

  /** A worker started a job attempt. */
  record TaskStarted(
      long atMilliseconds, String worker, String job, int attempt, String tag, String team)
      implements Observation {}

  /** A job attempt on a worker ended. */
  record TaskEnded(
      long atMilliseconds, String worker, String job, int attempt, String tag, String team)
      implements Observation {}

  /** The result of an operator's patch was returned as an audit entry. */
  record PatchCompleted(long atMilliseconds, String name, AuditEntry entry)
      implements Observation {}

  /** An operator's patch was rejected without an audit entry, or its outcome is unknown. */
  record PatchFailed(long atMilliseconds, String name, String message) implements Observation {}

  /** The platform set the state of an instance, possibly to the same state. */
  record InstanceChanged(long atMilliseconds, String instance, InstanceState state)
      implements Observation {}

  /** The platform received the first of the identical requests for an action on an instance. */
  record PoolActionStarted(long atMilliseconds, String instance, PoolAction action)
      implements Observation {}

  /** The scenario requested a graceful stop of an entry. */
  record StopRequested(long atMilliseconds, String entry) implements Observation {}

  /** An entry was frozen by a fault. */
  record EntryFrozen(long atMilliseconds, String entry) implements Observation {}

  /** A frozen entry resumed. */
  record EntryResumed(long atMilliseconds, String entry) implements Observation {}

  /** A request or job attempt was interrupted by a planned action of the platform. */
  record WorkInterruptedByPlannedStop(long atMilliseconds, String instance, String tag)
      implements Observation {}

  /** A sample of an entry's fleet description has another version than the sample before it. */
  record VersionObserved(long atMilliseconds, String entry, String incarnation, long version)
      implements Observation {}
}
