package org.flamingochute.scheduling.declaration;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A declaration without findings, and changes of one field each. */
final class DraftFixture {
  /** A change of a field of the entry with this index among those of its kind. */
  record Change(EntryKind kind, int index, DeclaredField field, DeclaredValue value) {
    @Override
    public String toString() {
      return field + "=" + value + " of " + kind + " " + index;
    }
  }

  private DraftFixture() {}

  static Change change(EntryKind kind, int index, DeclaredField field, Object value) {
    return new Change(kind, index, field, valueOf(value));
  }

  static DeclaredValue valueOf(Object value) {
    return switch (value) {
      case Integer number -> new DeclaredValue.WholeNumber(number);
      case Double number -> new DeclaredValue.Decimal(number);
      case Boolean flag -> new DeclaredValue.Flag(flag);
      case Set<?> keys ->
          new DeclaredValue.Secrets(Set.copyOf(keys.stream().map(String::valueOf).toList()));
      default -> new DeclaredValue.Text(value.toString());
    };
  }

  static DeclarationDraft draft(Change... changes) {
    List<DeclaredEntry> root = List.of(entry(EntryKind.DECLARATION, "", 7, 65_536));
    List<DeclaredEntry> queues =
        List.of(queue("orders", "/orders/", "workshop"), queue("proofs", "/proofs/", "studio"));
    List<DeclaredEntry> pools =
        List.of(
            entry(EntryKind.POOL, "workshop", "workshop", true, false),
            entry(EntryKind.POOL, "studio", "studio", true, false),
            entry(EntryKind.POOL, "reserve", "reserve", true, true));
    List<DeclaredEntry> teams =
        List.of(
            entry(EntryKind.TEAM, "clubs", "clubs", Set.of("key-1"), 10.0, 24_000, 0, 0),
            entry(EntryKind.TEAM, "shops", "shops", Set.of("key-2"), 10.0, 12_000, 0, 0));
    return new DeclarationDraft(
        changed(root, EntryKind.DECLARATION, changes).getFirst(),
        changed(queues, EntryKind.QUEUE, changes),
        changed(pools, EntryKind.POOL, changes),
        changed(teams, EntryKind.TEAM, changes));
  }

  private static DeclaredEntry queue(String name, String prefix, String pool) {
    return entry(
        EntryKind.QUEUE, name, name, "h.example", prefix, pool, 3_000, false, 1, 3, 2.0, 1_000);
  }

  /** Creates an entry with the values of all fields of its kind, in their order. */
  private static DeclaredEntry entry(EntryKind kind, String name, Object... values) {
    Map<DeclaredField, DeclaredValue> entryValues = new EnumMap<>(DeclaredField.class);
    List<DeclaredField> fields = DeclaredField.of(kind);
    for (int i = 0; i < fields.size(); i++) {
      entryValues.put(fields.get(i), valueOf(values[i]));
    }
    return new DeclaredEntry(new EntryName(kind, name), entryValues);
  }

  private static List<DeclaredEntry> changed(
      List<DeclaredEntry> entries, EntryKind kind, Change... changes) {
    List<DeclaredEntry> result = new ArrayList<>(entries);
    for (Change change : changes) {
      if (change.kind() == kind) {
        result.set(change.index(), changed(result.get(change.index()), change));
      }
    }
    return result;
  }

  private static DeclaredEntry changed(DeclaredEntry entry, Change change) {
    Map<DeclaredField, DeclaredValue> values = new EnumMap<>(entry.values());
    values.put(change.field(), change.value());
    boolean isName =
        Set.of(DeclaredField.QUEUE_NAME, DeclaredField.POOL_NAME, DeclaredField.TEAM_NAME)
            .contains(change.field());
    EntryName name =
        isName && change.value() instanceof DeclaredValue.Text text
            ? new EntryName(change.kind(), text.value())
            : entry.name();
    return new DeclaredEntry(name, values);
  }
}
