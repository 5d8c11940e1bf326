package cases;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What was sent, answered and run, with times in milliseconds since the start of the case. */
final class Events {
  private final long startedAt = System.nanoTime();
  private final List<String> lines = new ArrayList<>();

  long now() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void add(String format, Object... values) {
    lines.add("%7d ".formatted(now()) + format.formatted(values));
  }

  /** Returns in how many attempts a task of the job has ended as failed. */
  synchronized int failedAttemptsOf(String job) {
    Set<String> attempts = new HashSet<>();
    for (String line : lines) {
      if (line.contains("end task=" + job) && line.endsWith("how=failed")) {
        attempts.add(line.replaceAll(".* attempt=(\\d+) .*", "$1"));
      }
    }
    return attempts.size();
  }

  synchronized void write(Path file) throws IOException {
    Files.write(file, lines);
  }
}
