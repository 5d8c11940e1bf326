package org.flamingochute.decision.documentation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import com.google.protobuf.Message;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.Collectors;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.settings.SettingsReference;
import org.flamingochute.schema.EndpointStandInSettings;
import org.flamingochute.schema.EntrySettings;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.NodeSettings;
import org.flamingochute.schema.StandInSettings;
import org.flamingochute.schema.TrafficSettings;
import org.junit.jupiter.api.Test;

/**
 * Checks that the generated pages match the schema and the error codes. The check fails when either
 * is changed without generating the pages again.
 *
 * <p>With the system property {@code writePages=true} the pages are written before the check.
 */
class GeneratedPagesTest {

  private static final Path PAGES = Path.of("..", "docs");
  private static final String BEGIN = "<!-- generated: begin -->\n";
  private static final String END = "<!-- generated: end -->\n";

  private static final String SETTINGS_HEAD =
      """
      # Settings

      Each process reads one INI file. A section is a table below, a key is a row; a key that is left out takes its
      default. An unknown section or key, a wrong type or a value outside its limits ends the process with exit code 2 and
      one error for each fault, with file, section, key and value. This page is made from the schema.

      """;

  private static final String ERRORS_HEAD =
      """
      # Errors

      Every error that a user can see, as `FC-code: message`. `%s` stands for an argument of the message. This page is
      generated from the error codes in the code.

      | code | name | message |
      |---|---|---|
      """;

  @Test
  void settingsPageIsCurrent() throws IOException {
    StringBuilder page = new StringBuilder(SETTINGS_HEAD);
    appendSettings(page, "Node", NodeSettings.getDefaultInstance());
    appendSettings(page, "Entry", EntrySettings.getDefaultInstance());
    appendSettings(page, "Load tool", TrafficSettings.getDefaultInstance());
    appendSettings(page, "Platform stand-in", StandInSettings.getDefaultInstance());
    appendSettings(page, "Endpoint stand-in", EndpointStandInSettings.getDefaultInstance());
    checkPage("SETTINGS.md", page.toString().stripTrailing() + "\n");
  }

  private static void appendSettings(StringBuilder page, String process, Message root) {
    page.append("## ").append(process).append("\n\n");
    page.append(SettingsReference.render(root, "###"));
  }

  @Test
  void fleetPageIsCurrent() throws IOException {
    String page = Files.readString(PAGES.resolve("FLEET.md"));
    String before = page.substring(0, page.indexOf(BEGIN) + BEGIN.length());
    String after = page.substring(page.indexOf(END));
    String tables = SettingsReference.render(FleetDescription.getDefaultInstance(), "###");
    checkPage("FLEET.md", before + "\n" + tables + after);
  }

  @Test
  void errorsPageIsCurrent() throws IOException {
    String rows =
        Arrays.stream(ErrorCode.values())
            .sorted(Comparator.comparingInt(ErrorCode::number))
            .map(code -> row(code))
            .collect(Collectors.joining());
    checkPage("ERRORS.md", ERRORS_HEAD + rows);
  }

  private static String row(ErrorCode code) {
    String message = code.template().replace("|", "\\|");
    return "| " + code.number() + " | " + code + " | " + message + " |\n";
  }

  private static void checkPage(String name, String expected) throws IOException {
    Path page = PAGES.resolve(name);
    if (Boolean.getBoolean("writePages")) {
      Files.writeString(page, expected);
    }
    assertThat(Files.readString(page), equalTo(expected));
  }
}
