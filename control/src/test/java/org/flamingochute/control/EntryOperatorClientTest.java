package org.flamingochute.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.HistoryReport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the retries and the outcome of patches.
 *
 * <p>Guards against applying a patch twice and against reporting a wrong outcome if the response is
 * lost: an entry may fail after it appended the patch, and the history may not contain it yet.
 */
class EntryOperatorClientTest {

  private static final FleetPatch PATCH =
      FleetPatch.newBuilder().setPatchId("p1").setBaseVersion(3).build();

  /** An entry that responds to every patch with its first scripted result; its history is fixed. */
  private static final class ScriptedEntry implements EntryConnection {

    private final Deque<String> postResults;
    private final HistoryReport history;
    private int postCount;

    private ScriptedEntry(String postResults, HistoryReport history) {
      this.postResults = new ArrayDeque<>(Arrays.asList(postResults.split(" ")));
      this.history = history;
    }

    @Override
    public String address() {
      return "10.0.0.1:80";
    }

    @Override
    public EntryCallResult get(String path) {
      if (postResults.contains("dead")) {
        return new EntryCallResult.NotRun("refused");
      }
      if (path.startsWith("/operator/history")) {
        return answered(200, JsonText.of(history));
      }
      return answered(200, JsonText.of(FleetDescription.newBuilder().setVersion(9)));
    }

    @Override
    public EntryCallResult post(String path, String json) {
      postCount++;
      return switch (postResults.peekFirst()) {
        case "dead" -> new EntryCallResult.NotRun("refused");
        case "lost" -> new EntryCallResult.Unknown("CUT");
        case "accepted" -> answered(200, "{\"accepted\":true,\"resultingVersion\":\"4\"}");
        case "stale" -> answered(409, "{\"result\":\"FC-1100: stale\"}");
        case "invalid" -> answered(422, "{\"result\":\"FC-1102: bad cap\"}");
        case "unauthorized" -> answered(401, "{\"code\":1214,\"message\":\"operator x\"}");
        case "forbidden" -> answered(403, "{\"code\":1215,\"message\":\"operator x\"}");
        case "unavailable" -> answered(503, "{\"code\":1210,\"message\":\"log\"}");
        case "timeout" -> answered(504, "{\"code\":1209,\"message\":\"may have run\"}");
        case "broken" -> answered(500, "<html>");
        case "garbage" -> answered(200, "<html>");
        default -> answered(400, "{\"code\":1212,\"message\":\"malformed\"}");
      };
    }

    private static EntryCallResult answered(int status, String body) {
      return new EntryCallResult.Answered(status, body.getBytes(StandardCharsets.UTF_8));
    }
  }

  private static HistoryReport parseHistory(String trail) {
    HistoryReport.Builder history = HistoryReport.newBuilder();
    for (String word : trail.isEmpty() ? new String[0] : trail.split(" ")) {
      String[] parts = word.split(":");
      history.addEntries(
          AuditEntry.newBuilder()
              .setPatchId(parts[0])
              .setAccepted(parts[1].equals("accepted"))
              .setBaseVersion(3)
              .setResult(parts[1].equals("stale") ? "FC-1100: x" : "FC-1102: x"));
    }
    return history.build();
  }

  private static String outcomeOf(Either<ControlError, AuditEntry> result) {
    return result.fold(error -> error.exitCode().name(), entry -> "OK");
  }

  @ParameterizedTest(name = "entries respond {0}, history {1}: {2} after {3} patches sent")
  @CsvSource({
    "accepted, '', OK, 1",
    "dead/accepted, '', OK, 2",
    "unavailable/accepted, '', OK, 2",
    "dead/dead, '', UNREACHABLE, 2",
    "unavailable/unavailable, '', UNREACHABLE, 2",
    "stale, '', STALE_BASE, 1",
    "stale, p2:accepted, STALE_BASE, 1",
    "unavailable/stale, p1:accepted, OK, 2",
    "invalid, '', INVALID_DESCRIPTION, 1",
    "unauthorized, '', NOT_ALLOWED, 1",
    "forbidden, '', NOT_ALLOWED, 1",
    "malformed, '', REFUSED, 1",
    "garbage, '', REFUSED, 1",
    "lost, '', UNKNOWN_OUTCOME, 1",
    "lost, p2:accepted, UNKNOWN_OUTCOME, 1",
    "lost, p1:accepted, OK, 1",
    "lost, p1:accepted p1:stale, OK, 1",
    "lost, p1:stale, STALE_BASE, 1",
    "lost, p1:invalid, INVALID_DESCRIPTION, 1",
    "timeout, p1:accepted, OK, 1",
    "broken, p1:accepted, OK, 1",
    "lost/accepted, '', UNKNOWN_OUTCOME, 1",
    "dead/lost, p1:accepted, OK, 2",
  })
  void patchOutcomeIsDetermined(String responses, String trail, String outcome, int sent) {
    List<ScriptedEntry> entries = new ArrayList<>();
    for (String script : responses.split("/")) {
      entries.add(new ScriptedEntry(script, parseHistory(trail)));
    }
    EntryOperatorClient client =
        new EntryOperatorClient(List.copyOf(entries), Duration.ofMillis(1));
    assertThat(outcomeOf(client.patch(PATCH)), equalTo(outcome));
    assertThat(entries.stream().mapToInt(entry -> entry.postCount).sum(), equalTo(sent));
  }

  @ParameterizedTest(name = "reading with entries {0} gives {1}")
  @CsvSource({
    "dead, UNREACHABLE",
    "dead/dead, UNREACHABLE",
    "dead/up, OK",
    "up, OK",
  })
  void readIsRetriedAtNextEntry(String responses, String outcome) {
    List<EntryConnection> entries = new ArrayList<>();
    for (String script : responses.split("/")) {
      entries.add(new ScriptedEntry(script, HistoryReport.getDefaultInstance()));
    }
    Either<ControlError, FleetDescription> result =
        new EntryOperatorClient(entries, Duration.ofMillis(1)).description();
    assertThat(
        result.fold(error -> error.exitCode().name(), description -> "OK"), equalTo(outcome));
  }

  @ParameterizedTest(name = "the message for {0} contains {1}")
  @CsvSource({
    "stale, 'the patch is against version 3, but version 9 is in force'",
    "lost, history --patch p1",
    "invalid, 'FC-1102: bad cap'",
    "forbidden, 'FC-1215: operator x'",
    "dead, '10.0.0.1:80: refused'",
  })
  void errorMessageNamesCauseOrNextStep(String script, String text) {
    EntryOperatorClient client =
        new EntryOperatorClient(
            List.of(
                new ScriptedEntry(script, HistoryReport.getDefaultInstance()), unreachableEntry()),
            Duration.ofMillis(1));
    ControlError error = client.patch(PATCH).getLeft();
    assertThat(String.join("\n", error.lines()), containsString(text));
  }

  private static EntryConnection unreachableEntry() {
    return new ScriptedEntry("dead", HistoryReport.getDefaultInstance());
  }
}
