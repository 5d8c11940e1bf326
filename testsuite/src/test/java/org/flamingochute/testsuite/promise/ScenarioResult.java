package org.flamingochute.testsuite.promise;

import java.util.List;
import java.util.Map;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.testsuite.observation.ObservationJournal;

/**
 * The recorded outcome of a scenario, which is the only input of the checkers.
 *
 * @param journal observations made outside the system
 * @param configurationHistory history of the configuration that operators declared
 * @param logRecords the records that the log retains at the end, in order, with their append times
 * @param instances the platform's instances
 * @param listLagMilliseconds maximum age of the instance list during the scenario
 * @param endMilliseconds time since the start of the scenario at which it ended
 * @param finalEntryStates state of each entry that was neither killed nor frozen at the end
 */
public record ScenarioResult(
    ObservationJournal journal,
    ConfigurationHistory configurationHistory,
    List<TimedRecord> logRecords,
    Map<String, InstanceDetails> instances,
    long listLagMilliseconds,
    long endMilliseconds,
    List<FinalEntryState> finalEntryStates) {

  /** A log record with its append time, measured from the start of the scenario. */
  public record TimedRecord(long appendedAtMilliseconds, LogRecord record) {}

  /** Immutable properties of an instance. */
  public record InstanceDetails(String name, String kind, String firstPool, String rack) {}

  /**
   * The state of an entry at the end of the scenario.
   *
   * @param isConnectedToLog whether no injected fault cut the entry off from the log at the end; an
   *     unavailable log is not considered
   * @param offset offset of the last applied log record, or -1 if there is none
   * @param version version of the fleet description
   * @param stateDigest digest of the complete agreed state
   */
  public record FinalEntryState(
      String entry,
      boolean isConnectedToLog,
      long offset,
      long version,
      String stateDigest,
      Map<String, String> poolOfInstance,
      Map<String, String> phaseOfJob) {}
}
