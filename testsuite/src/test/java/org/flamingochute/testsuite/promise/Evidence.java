package org.flamingochute.testsuite.promise;

import java.util.List;
import java.util.Map;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.testsuite.observation.ObservationJournal;

/**
 * The recorded outcome of a scenario, which is the only input of the checkers.
 *
 * @param journal observations made outside the system
 * @param declarations history of the configuration that operators declared
 * @param logRecords all records that were appended to the log, in order, with their append times
 * @param instances the platform's instances
 * @param listLagMilliseconds maximum age of the instance list during the scenario
 * @param endMilliseconds time since the start of the scenario at which it ended
 * @param finalViews state of each entry that was still running at the end
 */
public record Evidence(
    ObservationJournal journal,
    Declarations declarations,
    List<TimedRecord> logRecords,
    Map<String, InstanceFacts> instances,
    long listLagMilliseconds,
    long endMilliseconds,
    List<FinalView> finalViews) {

  /** A log record with its append time, measured from the start of the scenario. */
  public record TimedRecord(long atMilliseconds, LogRecord record) {}

  /** Immutable properties of an instance. */
  public record InstanceFacts(String name, String kind, String firstPool, String rack) {}

  /**
   * The state of an entry at the end of the scenario.
   *
   * @param connected whether the entry was connected to the log and its peers over the last seconds
   * @param imageDigest digest of the complete agreed state
   */
  public record FinalView(
      String entry,
      boolean connected,
      long offset,
      long version,
      String imageDigest,
      Map<String, String> poolOfInstance,
      Map<String, String> phaseOfJob) {}
}
