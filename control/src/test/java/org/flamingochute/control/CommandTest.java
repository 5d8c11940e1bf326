package org.flamingochute.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import com.google.protobuf.util.JsonFormat;
import io.vavr.control.Either;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.flamingochute.decision.fleet.FleetDescriptionParser;
import org.flamingochute.decision.fleet.KeyDigest;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.HistoryReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the commands against one description in memory, including conflicts with other patches. */
class CommandTest {

  private static final String FLEET =
      """
      [fleet]
      company = rueda
      [pool proofs]
      kind = runner
      size = 6
      [service proofs]
      pool = proofs
      [team rosario]
      share = 1
      cap = 10
      [key rosario-a]
      team = rosario
      digest = %s
      [operator ana]
      digest = %s
      rights = patch
      """
          .formatted(KeyDigest.of("one"), KeyDigest.of("two"));

  @TempDir Path folder;

  private final InMemoryOperatorClient client =
      new InMemoryOperatorClient(
          new FleetDescriptionParser()
              .parse("fleet", FLEET).get().toBuilder().setVersion(7).build());

  private Either<ControlError, String> runCommand(String... words) throws Exception {
    List<String> arguments = new ArrayList<>(Arrays.asList(words));
    arguments.addAll(List.of("--operator", "ana"));
    CommandLine commandLine =
        new DefaultParser().parse(ControlMain.options(), arguments.toArray(new String[0]));
    CommandContext context = new CommandContext(commandLine, client, () -> "random");
    return new CommandRegistry().find(words[0]).get().run(context);
  }

  private String writeFleetFile(String find, String replacement) throws Exception {
    Path file = folder.resolve("fleet.ini");
    Files.writeString(file, FLEET.replace(find, replacement));
    return file.toString();
  }

  private static String describe(Either<ControlError, String> result) {
    return result.fold(
        error -> error.exitCode() + " " + String.join("\n", error.lines()), text -> "OK " + text);
  }

  @ParameterizedTest(name = "{0} with {2} instead of {1}: {3}")
  @CsvSource({
    "validate, cap = 10, cap = 12, 'OK valid: 1 pools, 1 services, 1 teams, 1 keys'",
    "validate, cap = 10, cap = -1, INVALID_DESCRIPTION FC-1004",
    "validate, pool = proofs, pool = nowhere, INVALID_DESCRIPTION FC-1102",
    "diff, cap = 10, cap = 10, OK 0 changes against version 7",
    "diff, cap = 10, cap = 12, set [team rosario] cap = 12 (was 10)",
    "diff, size = 6, size = 9, set [pool proofs] size = 9 (was 6)",
    "diff, cap = 10, colour = 1, INVALID_DESCRIPTION FC-1002",
  })
  void filesAreValidatedAndCompared(String command, String find, String replacement, String text)
      throws Exception {
    assertThat(
        describe(runCommand(command, writeFleetFile(find, replacement))), containsString(text));
  }

  @ParameterizedTest(name = "apply of {0} at base {1}: {2}")
  @CsvSource({
    "cap = 12, 7, 'OK version 8 is in force (patch random, 1 changes)'",
    "cap = 10, 7, 'OK nothing to change, version 7 is in force'",
    "cap = 12, 6, 'STALE_BASE FC-1408: the patch is against version 6, but version 7'",
    "cap = 12, 8, STALE_BASE",
    "cap = x, 7, INVALID_DESCRIPTION",
    "cap = 12, x, 'USAGE FC-1300: command line: --base: value \"x\"'",
    "cap = 12, -1, USAGE",
  })
  void applyRequiresBaseVersionInForce(String replacement, String base, String text)
      throws Exception {
    String file = writeFleetFile("cap = 10", replacement);
    assertThat(describe(runCommand("apply", file, "--base=" + base)), containsString(text));
  }

  @ParameterizedTest(name = "{0} {1}: {2}")
  @CsvSource({
    "apply, FILE, --base is required",
    "apply, '', needs one argument",
    "validate, nowhere.ini, FC-1300",
    "show, x, takes no argument",
    "status, x, takes no argument",
    "history, x, takes no argument",
    "grant, '', needs one argument: TEAM",
    "withdraw, '', needs one argument: KEY-ID",
    "grant, nobody, FC-1413",
    "withdraw, nothing, FC-1411",
  })
  void invalidArgumentsAreReported(String command, String argument, String text) throws Exception {
    String word = argument.equals("FILE") ? writeFleetFile("", "") : argument;
    Either<ControlError, String> result =
        word.isEmpty() ? runCommand(command) : runCommand(command, word);
    assertThat(describe(result), containsString(text));
    assertThat(result.isLeft(), equalTo(true));
  }

  @Test
  void grantedKeyIsPrintedOnceAndStoredAsDigest() throws Exception {
    String text = runCommand("grant", "rosario", "--key-id", "rosario-b").get();
    assertThat(text, containsString("key: random"));
    FleetDescription description = client.description().get();
    assertThat(
        description.getKeysOrThrow("rosario-b").getDigest(),
        equalTo(KeyDigest.of("random").text()));
    assertThat(runCommand("show").get(), not(containsString("random")));
  }

  @Test
  void existingKeyIdIsRejected() throws Exception {
    assertThat(
        describe(runCommand("grant", "rosario", "--key-id", "rosario-a")),
        containsString("FC-1412"));
  }

  @Test
  void withdrawnKeyIsRemoved() throws Exception {
    assertThat(runCommand("withdraw", "rosario-a").get(), containsString("version 8"));
    assertThat(client.description().get().getKeysCount(), equalTo(0));
  }

  @ParameterizedTest(name = "withdraw after {0} concurrent patches: {1}")
  @CsvSource({"1, OK version 9", "4, OK version 12", "5, STALE_BASE"})
  void editIsRetriedAfterConcurrentPatches(int concurrentPatches, String text) throws Exception {
    client.setConcurrentPatches(concurrentPatches);
    assertThat(describe(runCommand("withdraw", "rosario-a")), containsString(text));
  }

  @Test
  void historyShowsOperatorAndReason() throws Exception {
    runCommand(
        "apply", writeFleetFile("cap = 10", "cap = 12"), "--base", "7", "--reason", "more clubs");
    String text = runCommand("history").get();
    assertThat(text, containsString("ana"));
    assertThat(text, containsString("more clubs"));
    assertThat(runCommand("history", "--patch", "other").get(), equalTo("no patches\n"));
    String json = runCommand("history", "--json").get();
    HistoryReport.Builder history = HistoryReport.newBuilder();
    JsonFormat.parser().merge(json, history);
    assertThat(history.getEntries(0).getReason(), equalTo("more clubs"));
  }

  @Test
  void shownTextParsesToDescriptionInForce() throws Exception {
    String text = runCommand("show").get();
    assertThat(text, containsString("; version 7"));
    FleetDescription read = new FleetDescriptionParser().parse("shown", text).get();
    assertThat(read.toBuilder().setVersion(7).build(), equalTo(client.description().get()));
  }
}
