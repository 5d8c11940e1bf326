package org.flamingochute.decision.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingochute.schema.AuditEntry;

/** Every patch, accepted or refused: who, when, against which version and with what result. */
final class AuditTrail {

  /** Entries that are kept. */
  static final int LIMIT = 1000;

  private final Deque<AuditEntry> entries = new ArrayDeque<>();
  private final Set<String> patchIds = new HashSet<>();
  private List<AuditEntry> copy = List.of();

  /** Tells whether a patch of this id was folded. */
  synchronized boolean contains(String patchId) {
    return patchIds.contains(patchId);
  }

  synchronized void add(AuditEntry entry) {
    entries.addLast(entry);
    patchIds.add(entry.getPatchId());
    if (entries.size() > LIMIT) {
      patchIds.remove(entries.removeFirst().getPatchId());
    }
    copy = null;
  }

  /** Returns the entries, oldest first. */
  synchronized List<AuditEntry> entries() {
    if (copy == null) {
      copy = List.copyOf(entries);
    }
    return copy;
  }

  /** Replaces everything by the content of an image. */
  synchronized void load(List<AuditEntry> image) {
    entries.clear();
    patchIds.clear();
    image.forEach(this::add);
    copy = null;
  }
}
