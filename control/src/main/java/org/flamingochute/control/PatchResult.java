package org.flamingochute.control;

import org.flamingochute.schema.AuditEntry;

/** Shows an accepted patch. */
final class PatchResult {

  private PatchResult() {}

  /** Returns the text for people or programs. */
  static String textOf(CommandContext context, AuditEntry entry) {
    if (context.isJson()) {
      return JsonText.of(entry);
    }
    return "version %d is in force (patch %s, %d changes)%n"
        .formatted(entry.getResultingVersion(), entry.getPatchId(), entry.getChangesCount());
  }
}
