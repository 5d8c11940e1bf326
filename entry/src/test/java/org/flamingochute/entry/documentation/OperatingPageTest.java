package org.flamingochute.entry.documentation;

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that docs/OPERATING.md lists each log event and metric of the modules below. */
class OperatingPageTest {
  private static final Path ROOT = Path.of("..");

  @ParameterizedTest
  @CsvSource({
    "event=([a-z_]+)",
    "\\b(?:counter|timer|gauge|meter|histogram)\\(\\s*\"([a-z_.]+[a-z])\"",
  })
  void eachReportedNameIsDocumented(String pattern) throws IOException {
    String page = Files.readString(ROOT.resolve("docs/OPERATING.md"));
    Set<String> reported = new TreeSet<>();
    for (String module : new String[] {"entry", "engine", "platform", "decision"}) {
      collectNames(ROOT.resolve(module + "/src/main/java"), Pattern.compile(pattern), reported);
    }
    assertThat(reported, not(hasSize(0)));
    reported.removeIf(name -> page.contains("`" + name + "`"));
    assertThat(reported, is(empty()));
  }

  private static void collectNames(Path folder, Pattern pattern, Set<String> names)
      throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        Matcher matcher = pattern.matcher(Files.readString(file));
        while (matcher.find()) {
          names.add(matcher.group(1));
        }
      }
    }
  }
}
