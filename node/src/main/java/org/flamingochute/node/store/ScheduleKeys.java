package org.flamingochute.node.store;

import java.util.Optional;
import org.flamingochute.decision.identity.JobId;

/** Keys of the records in the system's own topics, and in those of declarations and reports. */
public final class ScheduleKeys {
  /** Key of the leadership term. */
  public static final String LEADER_TERM = "leader-term";

  /** Key of the load history of pools. */
  public static final String POOL_HISTORY = "pool-history";

  /** Key of the machines that the leader may have commanded lately. */
  public static final String MACHINE_COMMANDS = "machine-commands";

  /** Key of the load of the pools. */
  public static final String FLEET_LOAD = "fleet-load";

  /** Key of the operators' declaration. */
  public static final String DECLARATION = "config";

  private static final String JOB = "job/";
  private static final String CANCELLATION = "cancellation/";
  private static final String PROGRESS = "progress/";
  private static final String STATUS = "status/";
  private static final String WAVE = "wave/";

  private ScheduleKeys() {}

  /** Returns the key of a job's definition. */
  public static String job(JobId id) {
    return JOB + id;
  }

  /** Returns the key of a job's cancellation. */
  public static String cancellation(JobId id) {
    return CANCELLATION + id;
  }

  /** Returns the key of a job's progress. */
  public static String progress(JobId id) {
    return PROGRESS + id;
  }

  /** Returns the key of a job's status. */
  public static String status(JobId id) {
    return STATUS + id;
  }

  /** Returns the key of a wave. */
  public static String wave(long number) {
    return WAVE + number;
  }

  /** Returns the job whose definition has the given key, or empty for other keys. */
  public static Optional<JobId> jobOf(String key) {
    return parseJobId(JOB, key);
  }

  /** Returns the job whose cancellation has the given key, or empty for other keys. */
  public static Optional<JobId> cancelledJobOf(String key) {
    return parseJobId(CANCELLATION, key);
  }

  /** Returns the job whose progress has the given key, or empty for other keys. */
  public static Optional<JobId> progressedJobOf(String key) {
    return parseJobId(PROGRESS, key);
  }

  /** Returns the job whose status has the given key, or empty for other keys. */
  public static Optional<JobId> statusJobOf(String key) {
    return parseJobId(STATUS, key);
  }

  private static Optional<JobId> parseJobId(String prefix, String key) {
    boolean isMatch = key.startsWith(prefix) && key.length() > prefix.length();
    return isMatch ? Optional.of(new JobId(key.substring(prefix.length()))) : Optional.empty();
  }

  /** Returns the number of the wave with the given key, or empty for other keys. */
  public static Optional<Long> waveOf(String key) {
    if (!key.startsWith(WAVE)) {
      return Optional.empty();
    }
    try {
      return Optional.of(Long.parseLong(key.substring(WAVE.length())));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
