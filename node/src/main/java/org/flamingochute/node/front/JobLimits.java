package org.flamingochute.node.front;

/**
 * Limits of the size of a job. The definition of a job is one record, and so is the progress of all
 * its tasks; a record that the store refuses would block all later ones.
 *
 * @param maximumRecordBytes maximum size of a record in the store
 */
public record JobLimits(int maximumRecordBytes) {
  /** Assumed size of the progress of one task, with a long worker name and a checkpoint. */
  private static final int PROGRESS_BYTES_PER_TASK = 96;

  /** Upper bound of the key and framing of a record. */
  private static final int KEY_AND_FRAME_BYTES = 64;

  /** Returns the maximum number of tasks of a job. */
  int maximumTasks() {
    return maximumRecordBytes / PROGRESS_BYTES_PER_TASK;
  }

  /** Returns the maximum size of a job's definition in bytes. */
  int maximumDefinitionBytes() {
    return maximumRecordBytes - KEY_AND_FRAME_BYTES;
  }
}
