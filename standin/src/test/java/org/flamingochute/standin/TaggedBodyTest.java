package org.flamingochute.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a truncated, extended, modified or foreign response is detected. */
class TaggedBodyTest {

  @ParameterizedTest(name = "response to {0} of {1} bytes with {2} is complete for {3}: {4}")
  @CsvSource({
    "r7, 256, nothing, r7, true",
    "r7, 0, nothing, r7, true",
    "r7, 256, nothing, r8, false",
    "r77, 256, nothing, r7, false",
    "r7, 256, nothing, r77, false",
    "r7, 256, end cut off, r7, false",
    "r7, 256, one byte changed, r7, false",
    "r7, 256, more at the end, r7, false",
    "r7, 256, all cut off, r7, false",
  })
  void damageIsDetected(
      String tag, int bytes, String damage, String expectedTag, boolean isComplete) {
    byte[] body = TaggedBody.create(tag, bytes);
    byte[] damaged =
        switch (damage) {
          case "end cut off" -> Arrays.copyOf(body, body.length - 1);
          case "more at the end" -> Arrays.copyOf(body, body.length + 1);
          case "all cut off" -> new byte[0];
          case "one byte changed" -> {
            body[body.length / 2]++;
            yield body;
          }
          default -> body;
        };
    assertThat(TaggedBody.isCompleteBodyFor(expectedTag, damaged), equalTo(isComplete));
  }
}
