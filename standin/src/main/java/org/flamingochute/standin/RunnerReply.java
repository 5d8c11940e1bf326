package org.flamingochute.standin;

import org.flamingochute.platform.EndpointOutcome;

/** Reply of a stand-in runner to a request, including faulty replies. */
public sealed interface RunnerReply {

  /**
   * The request was refused without any work.
   *
   * @param detail the cause
   */
  record Refused(String detail) implements RunnerReply {}

  /** A complete response. */
  record Complete(EndpointOutcome.Answered response) implements RunnerReply {}

  /** A response of which only the first half of the body is sent. */
  record Truncated(EndpointOutcome.Answered response) implements RunnerReply {}

  /** A response that is sent twice. */
  record Duplicated(EndpointOutcome.Answered response) implements RunnerReply {}

  /**
   * No complete response; the connection is closed.
   *
   * @param detail the cause
   */
  record ConnectionClosed(String detail) implements RunnerReply {}
}
