package org.flamingochute.scheduling.declaration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Compares a declaration with the one in force. */
public final class DeclarationDifference {
  private final DeclarationDraft inForce;
  private final DeclarationDraft draft;
  private final List<Finding> findings = new ArrayList<>();

  private DeclarationDifference(DeclarationDraft inForce, DeclarationDraft draft) {
    this.inForce = inForce;
    this.draft = draft;
  }

  /** Returns the findings in the order of the entries, removed ones last. */
  public static List<Finding> findings(DeclarationDraft inForce, DeclarationDraft draft) {
    DeclarationDifference difference = new DeclarationDifference(inForce, draft);
    difference.checkVersion();
    difference.compareEntries();
    return difference.findings;
  }

  private void checkVersion() {
    OptionalLong oldVersion = inForce.root().wholeNumber(DeclaredField.VERSION);
    OptionalLong newVersion = draft.root().wholeNumber(DeclaredField.VERSION);
    if (oldVersion.isEmpty() || newVersion.isEmpty()) {
      return;
    }
    if (newVersion.getAsLong() <= oldVersion.getAsLong()) {
      findings.add(
          new Finding.BrokenRule(
              Rule.VERSION_NOT_HIGHER,
              EntryName.DECLARATION,
              DeclaredField.VERSION,
              new DeclaredValue.WholeNumber(newVersion.getAsLong()),
              Long.toString(oldVersion.getAsLong())));
    }
  }

  private void compareEntries() {
    Map<EntryName, DeclaredEntry> oldEntries = entriesByName(inForce);
    Map<EntryName, DeclaredEntry> newEntries = entriesByName(draft);
    newEntries.forEach(
        (name, entry) -> {
          DeclaredEntry old = oldEntries.get(name);
          if (old == null) {
            findings.add(new Finding.Added(name));
          } else {
            compareFields(old, entry);
          }
        });
    for (EntryName name : oldEntries.keySet()) {
      if (!newEntries.containsKey(name)) {
        findings.add(new Finding.Removed(name, usersOf(name)));
      }
    }
  }

  /** Nodes use the last of several entries with the same name. */
  private static Map<EntryName, DeclaredEntry> entriesByName(DeclarationDraft declaration) {
    Map<EntryName, DeclaredEntry> entries = new LinkedHashMap<>();
    declaration.entries().forEach(entry -> entries.put(entry.name(), entry));
    return entries;
  }

  private void compareFields(DeclaredEntry old, DeclaredEntry entry) {
    for (DeclaredField field : DeclaredField.of(entry.name().kind())) {
      if (field == DeclaredField.VERSION) {
        continue;
      }
      Optional<DeclaredValue> oldValue = old.value(field);
      Optional<DeclaredValue> newValue = entry.value(field);
      if (oldValue.isPresent() && newValue.isPresent() && !oldValue.equals(newValue)) {
        findings.add(new Finding.Changed(entry.name(), field, oldValue.get(), newValue.get()));
      }
    }
  }

  /** Returns the queues that name a pool. No other entry is named by another one. */
  private List<EntryName> usersOf(EntryName name) {
    if (name.kind() != EntryKind.POOL) {
      return List.of();
    }
    return draft.queues().stream()
        .filter(queue -> queue.text(DeclaredField.QUEUE_POOL).equals(Optional.of(name.text())))
        .map(DeclaredEntry::name)
        .toList();
  }
}
