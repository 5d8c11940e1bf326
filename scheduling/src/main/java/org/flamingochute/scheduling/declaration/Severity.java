package org.flamingochute.scheduling.declaration;

/** Severities of findings, the most severe first. */
public enum Severity {
  /** Nodes refuse the declaration, or use a part of it in a way that cannot be meant. */
  ERROR,
  /** Nodes accept it, but a part has no effect or is replaced by a default. */
  WARNING,
  /** It differs from the declaration in force. */
  DIFFERENCE
}
