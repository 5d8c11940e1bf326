package org.flamingochute.scheduling.interference;

/** How much a filler image raises the tail latency of a serving image on the same worker. */
public enum InterferenceLevel {
  /** The filler does not raise the tail latency noticeably. */
  HARMLESS,
  /** There are too few samples, or the effect is moderate or differs between workers. */
  UNKNOWN,
  /** The filler raises the tail latency by a large part of its target. */
  INTERFERING
}
