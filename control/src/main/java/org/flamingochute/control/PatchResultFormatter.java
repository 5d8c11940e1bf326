package org.flamingochute.control;

import org.flamingochute.schema.AuditEntry;

/** Formats the result of an accepted patch. */
final class PatchResultFormatter {

  private PatchResultFormatter() {}

  /** Returns the result as text or JSON. */
  static String format(CommandContext context, AuditEntry entry) {
    if (context.isJson()) {
      return JsonText.of(entry);
    }
    return "version %d is in force (patch %s, %d changes)%n"
        .formatted(entry.getResultingVersion(), entry.getPatchId(), entry.getChangesCount());
  }
}
