package org.flamingochute.scheduling.duration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

// Guards against a log that does not tell which durations are in use, or that repeats it too often.
class DurationLogTest {
  private static final Logger LOGGER = Logger.getLogger("org.flamingochute");
  private static final int RUNS = 20;

  private final LearnedDurations durations = new LearnedDurations();
  private final List<String> lines = new ArrayList<>();

  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord record) {
          if (record.getMessage().contains("event=duration_learned")) {
            lines.add(record.getMessage());
          }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  @BeforeEach
  void start() {
    LOGGER.addHandler(handler);
  }

  @AfterEach
  void stop() {
    LOGGER.removeHandler(handler);
  }

  private void learn(String image, long now) {
    QueuedStep step = QueuedStep.newBuilder().setImage(image).setEstimateMilliseconds(100).build();
    for (int i = 0; i < RUNS; i++) {
      durations.observe(step, "q", 1_000);
      durations.logChanges(now);
    }
  }

  @Test
  void changeIsLoggedOnce() {
    learn("i", 0);
    durations.logChanges(10_000);
    assertThat(lines, hasSize(1));
    assertThat(lines.getFirst(), containsString("queue=q image=i predictor="));
    assertThat(lines.getFirst(), containsString("mean_ms=1000 factor=10.00"));
  }

  @Test
  void goodEstimatesAreNotLogged() {
    QueuedStep step = QueuedStep.newBuilder().setEstimateMilliseconds(1_000).build();
    for (int i = 0; i < RUNS; i++) {
      durations.observe(step, "q", 1_000);
      durations.logChanges(i);
    }
    assertThat(lines, is(empty()));
  }

  @Test
  void manyChangesGiveFewLines() {
    for (int i = 0; i < 300; i++) {
      learn("i" + i, 10 * i);
    }
    assertThat(lines.size(), lessThanOrEqualTo(3));
  }
}
