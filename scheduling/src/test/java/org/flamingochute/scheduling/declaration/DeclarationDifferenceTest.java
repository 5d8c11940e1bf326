package org.flamingochute.scheduling.declaration;

import static org.flamingochute.scheduling.declaration.DraftFixture.change;
import static org.flamingochute.scheduling.declaration.DraftFixture.draft;
import static org.flamingochute.scheduling.declaration.DraftFixture.valueOf;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.flamingochute.scheduling.declaration.DraftFixture.Change;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class DeclarationDifferenceTest {
  private static final Change NEXT_VERSION =
      change(EntryKind.DECLARATION, 0, DeclaredField.VERSION, 8);

  @Test
  void higherVersionAloneIsNoFinding() {
    assertThat(DeclarationDifference.findings(draft(), draft(NEXT_VERSION)), is(empty()));
  }

  /** Nodes ignore a declaration whose version is not higher, without any message. */
  @ParameterizedTest
  @CsvSource({"7", "6"})
  void versionThatIsNotHigherIsAnError(int version) {
    Change change = change(EntryKind.DECLARATION, 0, DeclaredField.VERSION, version);
    Finding expected =
        new Finding.BrokenRule(
            Rule.VERSION_NOT_HIGHER,
            EntryName.DECLARATION,
            DeclaredField.VERSION,
            valueOf(version),
            "7");
    List<Finding> findings = DeclarationDifference.findings(draft(), draft(change));
    assertThat(findings, contains(expected));
    assertThat(findings.getFirst().severity(), is(Severity.ERROR));
  }

  static Stream<Change> changesOfEachKind() {
    return Stream.of(
        change(EntryKind.DECLARATION, 0, DeclaredField.MAXIMUM_BODY_BYTES, 1),
        change(EntryKind.QUEUE, 0, DeclaredField.SLACK_FACTOR, 3.0),
        change(EntryKind.POOL, 0, DeclaredField.ENFORCES_CAPACITY, false),
        change(EntryKind.TEAM, 0, DeclaredField.API_KEYS, Set.of("key-1", "key-3")));
  }

  @ParameterizedTest
  @MethodSource("changesOfEachKind")
  void changedFieldIsShownWithBothValues(Change change) {
    DeclaredEntry old =
        draft()
            .entries()
            .filter(entry -> entry.name().kind() == change.kind())
            .findFirst()
            .orElseThrow();
    Finding expected =
        new Finding.Changed(
            old.name(), change.field(), old.values().get(change.field()), change.value());
    List<Finding> findings = DeclarationDifference.findings(draft(), draft(NEXT_VERSION, change));
    assertThat(findings, contains(expected));
    assertThat(findings.getFirst().severity(), is(Severity.DIFFERENCE));
  }

  static Stream<Change> namesThatNothingRefersTo() {
    return Stream.of(
        change(EntryKind.QUEUE, 0, DeclaredField.QUEUE_NAME, "new"),
        change(EntryKind.POOL, 2, DeclaredField.POOL_NAME, "new"),
        change(EntryKind.TEAM, 0, DeclaredField.TEAM_NAME, "new"));
  }

  @ParameterizedTest
  @MethodSource("namesThatNothingRefersTo")
  void addedAndRemovedEntriesAreDifferences(Change change) {
    EntryName oldName =
        switch (change.kind()) {
          case QUEUE -> draft().queues().get(change.index()).name();
          case POOL -> draft().pools().get(change.index()).name();
          default -> draft().teams().get(change.index()).name();
        };
    List<Finding> findings = DeclarationDifference.findings(draft(), draft(NEXT_VERSION, change));
    assertThat(
        findings,
        contains(
            new Finding.Added(new EntryName(change.kind(), "new")),
            new Finding.Removed(oldName, List.of())));
    assertThat(findings.getLast().severity(), is(Severity.DIFFERENCE));
  }

  /** The jobs of a queue whose pool was removed would wait forever. */
  @Test
  void removedPoolThatQueueUsesIsAnError() {
    Change change = change(EntryKind.POOL, 0, DeclaredField.POOL_NAME, "new");
    Finding removed =
        DeclarationDifference.findings(draft(), draft(NEXT_VERSION, change)).getLast();
    assertThat(
        removed,
        is(
            new Finding.Removed(
                new EntryName(EntryKind.POOL, "workshop"),
                List.of(new EntryName(EntryKind.QUEUE, "orders")))));
    assertThat(removed.severity(), is(Severity.ERROR));
  }
}
