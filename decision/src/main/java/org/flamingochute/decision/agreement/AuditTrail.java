package org.flamingochute.decision.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingochute.schema.AuditEntry;

/** The audit log of patches, accepted or refused: operator, time, base version and result. */
final class AuditTrail {

  /** Maximum number of entries; the oldest is dropped for a new one. */
  static final int MAXIMUM_ENTRIES = 1000;

  private final Deque<AuditEntry> entries = new ArrayDeque<>();
  private final Set<String> patchIds = new HashSet<>();
  private List<AuditEntry> cachedEntries = List.of();

  /** Returns whether a patch with this id is in the trail. */
  synchronized boolean contains(String patchId) {
    return patchIds.contains(patchId);
  }

  synchronized void add(AuditEntry entry) {
    entries.addLast(entry);
    patchIds.add(entry.getPatchId());
    if (entries.size() > MAXIMUM_ENTRIES) {
      patchIds.remove(entries.removeFirst().getPatchId());
    }
    cachedEntries = null;
  }

  /** Returns the entries, oldest first. */
  synchronized List<AuditEntry> entries() {
    if (cachedEntries == null) {
      cachedEntries = List.copyOf(entries);
    }
    return cachedEntries;
  }

  /** Replaces the content by that of an image. */
  synchronized void load(List<AuditEntry> image) {
    entries.clear();
    patchIds.clear();
    image.forEach(this::add);
    cachedEntries = null;
  }
}
