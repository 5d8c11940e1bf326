package org.flamingochute.node.documentation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that docs/OPERATIONS.md describes each log event in the node's sources. */
class OperationsPageTest {
  private static final Path ROOT = Path.of("..");
  private static final Pattern EVENT = Pattern.compile("event=([a-z_]+)");

  @Test
  void everyLogEventIsDocumented() throws IOException {
    String page = Files.readString(ROOT.resolve("docs/OPERATIONS.md"));
    Set<String> events = new TreeSet<>();
    for (String module : new String[] {"node", "scheduling", "logging"}) {
      collectEvents(ROOT.resolve(module + "/src/main/java"), events);
    }
    assertThat(events, not(hasSize(0)));
    events.removeIf(event -> page.contains("`" + event + "`"));
    assertThat(events, is(empty()));
  }

  private static void collectEvents(Path folder, Set<String> events) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        Matcher matcher = EVENT.matcher(Files.readString(file));
        while (matcher.find()) {
          events.add(matcher.group(1));
        }
      }
    }
  }
}
