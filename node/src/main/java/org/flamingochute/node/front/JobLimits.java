package org.flamingochute.node.front;

/**
 * The largest job that the store can hold. The definition of a job is one record, and so is the
 * progress of all its tasks; a record that the store refuses would hold up all others.
 *
 * @param recordBytes largest record of the store
 */
public record JobLimits(int recordBytes) {
  /** More than the progress of one task takes, with a long name of its worker and a checkpoint. */
  private static final int TASK_BYTES = 96;

  /** Room for the key of a record and its frame. */
  private static final int KEY_BYTES = 64;

  /** Returns the most tasks that a job may have. */
  int maximumTasks() {
    return recordBytes / TASK_BYTES;
  }

  /** Returns the most bytes that the definition of a job may have. */
  int maximumDefinitionBytes() {
    return recordBytes - KEY_BYTES;
  }
}
