package org.flamingochute.testsuite.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * An event at a worker, as one line of its event file.
 *
 * @param at time in milliseconds since the epoch; of an end, the time at which the run ended
 * @param worker id of the worker
 * @param born start time of the incarnation
 * @param kind what happened
 * @param task the task; empty for a lease
 * @param attempt attempt number of the run
 * @param late whether the order was delivered after its sender had given up
 * @param sentAt time at which the order left its node, in milliseconds since the epoch; 0 without
 *     an order
 * @param detail payload of a start, manner of an end, value of a checkpoint
 * @param checkpoint value that a start resumes from, or that an end has saved
 * @param until end of the lease, in milliseconds since the epoch
 */
record RunEvent(
    long at,
    String worker,
    long born,
    Kind kind,
    String task,
    int attempt,
    boolean late,
    long sentAt,
    String detail,
    String checkpoint,
    long until) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  enum Kind {
    START,
    REFUSED_START,
    STOP,
    CHECKPOINT,
    END,
    ACKNOWLEDGED,
    LEASE,
    KILLED
  }

  String job() {
    return task.contains(".") ? task.substring(0, task.indexOf('.')) : "";
  }

  RunEvent withBorn(long newBorn) {
    return new RunEvent(
        at, worker, newBorn, kind, task, attempt, late, sentAt, detail, checkpoint, until);
  }

  String toLine() {
    ObjectNode line = MAPPER.createObjectNode();
    line.put("at", at).put("worker", worker).put("born", born).put("kind", kind.name());
    line.put("task", task).put("attempt", attempt).put("late", late).put("sent", sentAt);
    line.put("detail", detail).put("checkpoint", checkpoint).put("until", until);
    return line + "\n";
  }

  private static RunEvent parse(String text) throws IOException {
    JsonNode line = MAPPER.readTree(text);
    return new RunEvent(
        line.path("at").asLong(),
        line.path("worker").asText(),
        line.path("born").asLong(),
        Kind.valueOf(line.path("kind").asText()),
        line.path("task").asText(),
        line.path("attempt").asInt(),
        line.path("late").asBoolean(),
        line.path("sent").asLong(),
        line.path("detail").asText(),
        line.path("checkpoint").asText(),
        line.path("until").asLong());
  }

  /** Reads an event file, of which a kill may have cut the last line. */
  static List<RunEvent> readFile(Path file) throws IOException {
    List<RunEvent> events = new ArrayList<>();
    String text = Files.readString(file);
    for (String line : text.substring(0, text.lastIndexOf('\n') + 1).split("\n")) {
      if (!line.isEmpty()) {
        events.add(parse(line));
      }
    }
    return events;
  }
}
