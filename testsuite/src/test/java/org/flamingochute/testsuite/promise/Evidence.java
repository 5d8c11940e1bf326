package org.flamingochute.testsuite.promise;

import java.util.List;
import java.util.Map;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.testsuite.observation.ObservationJournal;

/**
 * What a checker may look at.
 *
 * @param journal what was seen outside the system
 * @param declarations what the operators had put in force, by time
 * @param logRecords all records that the log took, in order, with their times
 * @param instances the platform's instances
 * @param listLagMilliseconds largest age that the instance list had
 * @param endMilliseconds end of the scenario
 * @param finalViews what each entry that still runs knows at the end
 */
public record Evidence(
    ObservationJournal journal,
    Declarations declarations,
    List<TimedRecord> logRecords,
    Map<String, InstanceFacts> instances,
    long listLagMilliseconds,
    long endMilliseconds,
    List<FinalView> finalViews) {

  /** A log record with the time of its append since the begin of the scenario. */
  public record TimedRecord(long atMilliseconds, LogRecord record) {}

  /** Facts about an instance that do not change. */
  public record InstanceFacts(String name, String kind, String firstPool, String rack) {}

  /**
   * What an entry knows at the end.
   *
   * @param connected whether nothing kept it from the log and its peers over the last seconds
   * @param imageDigest digest of its whole agreed state
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
