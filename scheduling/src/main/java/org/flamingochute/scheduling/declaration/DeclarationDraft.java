package org.flamingochute.scheduling.declaration;

import java.util.List;
import java.util.stream.Stream;

/**
 * A declaration as it is written in a file: unlike a {@code FleetDeclaration}, it has its entries
 * in order, with duplicates, and may lack fields.
 *
 * @param root version and limits
 * @param queues queues in the order of the file
 * @param pools pools in the order of the file
 * @param teams teams in the order of the file
 */
public record DeclarationDraft(
    DeclaredEntry root,
    List<DeclaredEntry> queues,
    List<DeclaredEntry> pools,
    List<DeclaredEntry> teams) {
  /** Copies the lists. */
  public DeclarationDraft {
    queues = List.copyOf(queues);
    pools = List.copyOf(pools);
    teams = List.copyOf(teams);
  }

  Stream<DeclaredEntry> entries() {
    return Stream.concat(
        Stream.concat(Stream.of(root), queues.stream()),
        Stream.concat(pools.stream(), teams.stream()));
  }
}
