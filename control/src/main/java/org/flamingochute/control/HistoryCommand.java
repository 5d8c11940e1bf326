package org.flamingochute.control;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.Optional;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.HistoryReport;

/** Shows the audit trail: accepted and refused patches with time and operator. */
final class HistoryCommand implements Command {

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .requireNoArgument()
        .flatMap(ignored -> context.client().history())
        .map(history -> filterByPatchId(history, context.option("patch")))
        .map(history -> context.isJson() ? JsonText.of(history) : format(history));
  }

  private static HistoryReport filterByPatchId(HistoryReport history, Optional<String> patchId) {
    if (patchId.isEmpty()) {
      return history;
    }
    HistoryReport.Builder selected = HistoryReport.newBuilder();
    for (AuditEntry entry : history.getEntriesList()) {
      if (entry.getPatchId().equals(patchId.get())) {
        selected.addEntries(entry);
      }
    }
    return selected.build();
  }

  private static String format(HistoryReport history) {
    if (history.getEntriesCount() == 0) {
      return "no patches\n";
    }
    TextTable table =
        new TextTable(
            "TIME", "OPERATOR", "PATCH", "BASE", "VERSION", "CHANGES", "RESULT", "REASON");
    for (AuditEntry entry : history.getEntriesList()) {
      table.addRow(
          Instant.ofEpochMilli(entry.getTimeMilliseconds()),
          entry.getOperatorName(),
          entry.getPatchId(),
          entry.getBaseVersion(),
          entry.getAccepted() ? Long.toString(entry.getResultingVersion()) : "-",
          entry.getChangesCount(),
          entry.getAccepted() ? "accepted" : "refused: " + entry.getResult(),
          entry.getReason());
    }
    return table.toText();
  }
}
