package org.flamingochute.control;

import java.nio.charset.StandardCharsets;

/** Result of a call to an entry. */
public sealed interface EntryCallResult {

  /**
   * The entry responded.
   *
   * @param status HTTP status
   * @param body complete body
   */
  record Answered(int status, byte[] body) implements EntryCallResult {

    /** Returns the body as text. */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /**
   * The call provably had no effect, for example because no connection was established.
   *
   * @param detail the cause
   */
  record NotRun(String detail) implements EntryCallResult {}

  /**
   * The response was lost; the call may have had an effect.
   *
   * @param detail the cause
   */
  record Unknown(String detail) implements EntryCallResult {}
}
