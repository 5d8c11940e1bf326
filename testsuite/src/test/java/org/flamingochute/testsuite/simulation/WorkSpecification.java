package org.flamingochute.testsuite.simulation;

import java.nio.charset.StandardCharsets;

/**
 * The content of a request or job in a scenario, encoded as {@code tag team run-milliseconds}.
 *
 * @param tag identifies the work
 * @param team the team that the caller belongs to
 * @param runMilliseconds run time of the work
 */
public record WorkSpecification(String tag, String team, long runMilliseconds) {

  /** Parses the content of a request or job. */
  public static WorkSpecification parse(byte[] content) {
    String[] words = new String(content, StandardCharsets.UTF_8).split(" ");
    return new WorkSpecification(words[0], words[1], Long.parseLong(words[2]));
  }

  /** Returns the encoded content. */
  public byte[] content() {
    return (tag + " " + team + " " + runMilliseconds).getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the response body that is expected for this work. */
  public String response() {
    return "answer to " + tag;
  }
}
