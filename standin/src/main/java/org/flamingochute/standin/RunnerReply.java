package org.flamingochute.standin;

import org.flamingochute.platform.EndpointOutcome;

/** What a stand-in runner puts on the wire for one request. */
public sealed interface RunnerReply {

  /**
   * Refused before any work.
   *
   * @param detail the explanation
   */
  record Refused(String detail) implements RunnerReply {}

  /** A whole answer. */
  record Whole(EndpointOutcome.Answered answer) implements RunnerReply {}

  /** The answer breaks off in the middle. */
  record BrokenOff(EndpointOutcome.Answered answer) implements RunnerReply {}

  /** The same answer is written twice. */
  record Repeated(EndpointOutcome.Answered answer) implements RunnerReply {}

  /**
   * No answer; the connection ends.
   *
   * @param detail the explanation
   */
  record Cut(String detail) implements RunnerReply {}
}
