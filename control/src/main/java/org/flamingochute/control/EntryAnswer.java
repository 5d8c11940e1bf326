package org.flamingochute.control;

import java.nio.charset.StandardCharsets;

/** How one call to one entry ended. */
public sealed interface EntryAnswer {

  /**
   * The entry answered.
   *
   * @param status HTTP status
   * @param body whole body
   */
  record Answered(int status, byte[] body) implements EntryAnswer {

    /** Returns the body as text. */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /**
   * The call provably had no effect.
   *
   * @param detail the explanation
   */
  record NotSent(String detail) implements EntryAnswer {}

  /**
   * The call may have had its effect.
   *
   * @param detail the explanation
   */
  record Lost(String detail) implements EntryAnswer {}
}
