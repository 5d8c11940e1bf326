package org.flamingochute.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.flamingochute.engine.EntryNodeSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the command line of the entry, and a whole process with a fake node on free ports.
 *
 * <p>Guards against a process that starts with unusable settings or that does not exit with the
 * documented code.
 */
class EntryCommandTest {
  private static final String VALID =
      """
      [entry]
      instance = entry-1
      data_centre = dc-1
      [platform]
      log_address = 127.0.0.1:1
      list_address = 127.0.0.1:1
      pool_address = 127.0.0.1:1
      """;

  @TempDir private Path folder;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final FakeEntryNode node = new FakeEntryNode();
  private final List<EntryNodeSettings> created = new ArrayList<>();
  private final List<EntryProcess> processes = new ArrayList<>();
  private final EntryCommand command =
      new EntryCommand(
          settings -> {
            created.add(settings);
            return node;
          },
          new PrintStream(output),
          new PrintStream(errors),
          processes::add);

  @AfterEach
  void stop() {
    processes.forEach(EntryProcess::stop);
  }

  private String writeSettings(String text) throws IOException {
    return Files.writeString(folder.resolve("entry.ini"), text).toString();
  }

  static Stream<Arguments> commandLines() {
    return Stream.of(
        arguments(List.of("--help"), 0, "usage: flamingochute-entry", ""),
        arguments(List.of("--version"), 0, "flamingochute-entry ", ""),
        arguments(List.of(), 2, "", "error: FC-1300: command line: --settings is required"),
        arguments(List.of("--nonsense"), 2, "", "error: FC-1300: command line: Unrecognized"),
        arguments(List.of("--set", "a"), 2, "", "error: FC-1300: command line: Unrecognized"),
        arguments(List.of("--settings"), 2, "", "error: FC-1300: command line: Missing argument"),
        arguments(List.of("--settings", "a", "b"), 2, "", "error: FC-1300: command line: unexp"),
        arguments(List.of("--settings", "/no/such/file"), 2, "", "error: FC-1000: /no/such/file"));
  }

  @ParameterizedTest
  @MethodSource("commandLines")
  void commandLineReturnsExpectedExitCode(
      List<String> arguments, int exitCode, String printed, String error) {
    Optional<Integer> result = command.execute(arguments.toArray(String[]::new));
    assertThat(result, equalTo(Optional.of(exitCode)));
    assertThat(output.toString(), startsWith(printed));
    assertThat(errors.toString(), startsWith(error));
  }

  static Stream<Arguments> invalidSettings() {
    return Stream.of(
        arguments("nonsense = 1", "FC-1002: "),
        arguments("threads = many", "FC-1003: "),
        arguments("threads = 0", "FC-1004: "),
        arguments("instance = entry-2", "FC-1008: "),
        arguments("http_address = 999.0.0.1:80", "FC-1309: section [entry]: key \"http_address\""),
        arguments("http_address = 0.0.0.0:80", "FC-1309: section [entry]: key \"http_address\""),
        arguments("http_address = localhost:80", "FC-1006: "),
        arguments("\n[peer]\naddress = 0.0.0.0:0", "FC-1309: section [peer]: key \"address\""),
        arguments("\n[peer]\naddress = 10.1.2.3:0", "FC-1306: "),
        arguments("\n[peer]\nsecret_file = /no/such", "FC-1307: section [peer]: key \"secret"),
        arguments("\n[peer]\ncertificate_file = /no/such", "FC-1310: "),
        arguments("\n[nonsense]\na = b", "FC-1001: "));
  }

  @ParameterizedTest
  @MethodSource("invalidSettings")
  void invalidSettingsReportOneErrorAndExitCodeTwo(String line, String error) throws Exception {
    String text =
        line.startsWith("\n") ? VALID + line : VALID.replace("[platform]", line + "\n[platform]");
    String file = writeSettings(text);
    for (String mode : List.of("--check", "--settings")) {
      errors.reset();
      String[] arguments =
          mode.equals("--check")
              ? new String[] {"--check", "--settings", file}
              : new String[] {"--settings", file};
      assertThat(command.execute(arguments), equalTo(Optional.of(2)));
      List<String> lines = errors.toString().lines().toList();
      assertThat(lines.size(), equalTo(1));
      assertThat(lines.getFirst(), containsString(error));
    }
    assertThat(created, is(empty()));
  }

  @Test
  void validSettingsPassCheckWithoutStartingNode() throws Exception {
    Optional<Integer> result = command.execute("--check", "--settings", writeSettings(VALID));
    assertThat(result, equalTo(Optional.of(0)));
    assertThat(output.toString(), containsString(": valid"));
    assertThat(created, is(empty()));
  }

  @Test
  void entryStartsServesRequestsAndStops() throws Exception {
    Path ports = folder.resolve("ports");
    String text = VALID.replace("[platform]", "port_file = " + ports + "\n[platform]");
    assertThat(command.execute("--settings", writeSettings(text)), equalTo(Optional.empty()));
    EntryProcess process = processes.getFirst();
    assertThat(
        Files.readString(ports),
        equalTo("http=" + process.httpAddress() + "\npeer=" + process.peerAddress() + "\n"));
    assertThat(node.started, is(true));
    assertThat(created.getFirst().httpAddress(), equalTo(process.httpAddress()));
    assertThat(created.getFirst().incarnation().value(), startsWith("entry-1-"));
    assertThat(getStatus(process, "/health/ready"), equalTo(200));
    assertThat(getStatus(process, "/metrics"), equalTo(200));
    process.stop();
    assertThat(node.stopped, is(true));
  }

  private static int getStatus(EntryProcess process, String path) throws Exception {
    try (HttpClient client = HttpClient.newHttpClient()) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + process.httpAddress() + path)).build();
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }
  }

  @Test
  void addressInUseIsReportedWithExitCodeOne() throws Exception {
    try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String address = "http_address = 127.0.0.1:" + used.getLocalPort();
      String text = VALID.replace("[platform]", address + "\n[platform]");
      assertThat(command.execute("--settings", writeSettings(text)), equalTo(Optional.of(1)));
      assertThat(
          errors.toString(),
          startsWith("error: FC-1309: section [entry]: key \"http_address\": address \"127.0"));
    }
  }

  @Test
  void unwritablePortFileIsReportedWithExitCodeOne() throws Exception {
    String text = VALID.replace("[platform]", "port_file = /no/such/folder/ports\n[platform]");
    assertThat(command.execute("--settings", writeSettings(text)), equalTo(Optional.of(1)));
    assertThat(errors.toString(), startsWith("error: FC-1308: section [entry]: key \"port_file\""));
    assertThat(node.started, is(false));
  }

  @Test
  void stopReturnsAtTimeLimitWhenNodeDoesNotStop() throws Exception {
    EntryCommand commandWithStuckNode =
        new EntryCommand(
            settings ->
                new FakeEntryNode() {
                  @Override
                  public CompletableFuture<Void> stop() {
                    return new CompletableFuture<>();
                  }
                },
            new PrintStream(output),
            new PrintStream(errors),
            processes::add);
    String text = VALID + "[timing]\nstop_milliseconds = 100\n";
    assertThat(
        commandWithStuckNode.execute("--settings", writeSettings(text)), equalTo(Optional.empty()));
    processes.getFirst().stop();
  }
}
