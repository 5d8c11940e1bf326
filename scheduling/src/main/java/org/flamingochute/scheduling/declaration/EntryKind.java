package org.flamingochute.scheduling.declaration;

/** The kinds of entries of a declaration. */
public enum EntryKind {
  /** The declaration itself, with its version and limits. */
  DECLARATION,
  QUEUE,
  POOL,
  TEAM
}
