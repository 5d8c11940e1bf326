package org.flamingochute.scheduling.declaration;

import static org.flamingochute.scheduling.declaration.DraftFixture.change;
import static org.flamingochute.scheduling.declaration.DraftFixture.draft;
import static org.flamingochute.scheduling.declaration.EntryKind.POOL;
import static org.flamingochute.scheduling.declaration.EntryKind.QUEUE;
import static org.flamingochute.scheduling.declaration.EntryKind.TEAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.flamingochute.scheduling.declaration.DraftFixture.Change;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class DeclarationCheckTest {
  /** Guards against findings about declarations that are in order. */
  @Test
  void validDeclarationHasNoFinding() {
    assertThat(DeclarationCheck.findings(draft()), is(empty()));
  }

  static Stream<Arguments> changesThatBreakRules() {
    return Stream.of(
        arguments(
            change(QUEUE, 1, DeclaredField.QUEUE_NAME, "orders"), "ERROR DUPLICATE_NAME orders"),
        arguments(
            change(POOL, 2, DeclaredField.POOL_NAME, "studio"), "ERROR DUPLICATE_NAME studio"),
        arguments(change(TEAM, 1, DeclaredField.TEAM_NAME, "clubs"), "ERROR DUPLICATE_NAME clubs"),
        arguments(
            change(TEAM, 1, DeclaredField.API_KEYS, Set.of("key-1", "key-2")),
            "ERROR SHARED_KEY shops"),
        arguments(
            change(QUEUE, 1, DeclaredField.QUEUE_POOL, "none"),
            "ERROR UNKNOWN_POOL proofs, WARNING UNUSED_POOL studio"),
        arguments(
            change(QUEUE, 1, DeclaredField.QUEUE_POOL, "workshop"), "WARNING UNUSED_POOL studio"),
        arguments(
            change(QUEUE, 1, DeclaredField.PATH_PREFIX, "/orders/"), "ERROR SAME_ADDRESS proofs"),
        arguments(
            change(QUEUE, 1, DeclaredField.PATH_PREFIX, "proofs/"),
            "ERROR PREFIX_WITHOUT_SLASH proofs"),
        arguments(
            change(QUEUE, 1, DeclaredField.PATH_PREFIX, "/proofs"),
            "ERROR PREFIX_WITHOUT_SLASH proofs"),
        arguments(change(QUEUE, 1, DeclaredField.HOST, ""), "ERROR HOST_OF_NO_CALL proofs"),
        arguments(
            change(QUEUE, 1, DeclaredField.HOST, "h.example:80"), "ERROR HOST_OF_NO_CALL proofs"),
        arguments(
            change(TEAM, 1, DeclaredField.API_KEYS, Set.of()), "WARNING TEAM_WITHOUT_KEYS shops"),
        arguments(change(TEAM, 1, DeclaredField.WEIGHT, 0.0), "WARNING NO_WEIGHT shops"),
        arguments(
            change(POOL, 2, DeclaredField.STANDBY, false),
            "WARNING UNUSED_POOL reserve, WARNING NO_STANDBY_POOL"),
        arguments(
            change(POOL, 0, DeclaredField.STANDBY, true), "WARNING SECOND_STANDBY_POOL reserve"),
        arguments(change(QUEUE, 1, DeclaredField.MAXIMUM_ATTEMPTS, 0), "WARNING NO_ATTEMPT proofs"),
        arguments(change(QUEUE, 1, DeclaredField.TIMEOUT, 0), "WARNING NO_TIMEOUT proofs"),
        arguments(
            change(QUEUE, 1, DeclaredField.SLACK_FACTOR, 0.5), "WARNING LOW_SLACK_FACTOR proofs"));
  }

  @ParameterizedTest
  @MethodSource("changesThatBreakRules")
  void brokenRuleIsFound(Change change, String expected) {
    assertThat(describe(DeclarationCheck.findings(draft(change))), is(expected));
  }

  static Stream<Change> negativeNumbers() {
    return Stream.of(EntryKind.values())
        .flatMap(kind -> DeclaredField.of(kind).stream().flatMap(field -> negative(kind, field)));
  }

  private static Stream<Change> negative(EntryKind kind, DeclaredField field) {
    return switch (field.type()) {
      case WHOLE_NUMBER, COUNT -> Stream.of(change(kind, 0, field, -1));
      case DECIMAL -> Stream.of(change(kind, 0, field, -0.5));
      case TEXT, IDENTIFIER, FLAG, SECRETS -> Stream.empty();
    };
  }

  /** Guards against a second finding, for example of a slack factor below 1, for such a field. */
  @ParameterizedTest
  @MethodSource("negativeNumbers")
  void negativeNumberIsTheOnlyFinding(Change change) {
    List<Finding> findings = DeclarationCheck.findings(draft(change));
    assertThat(findings, hasSize(1));
    Finding.BrokenRule rule = (Finding.BrokenRule) findings.getFirst();
    assertThat(rule.rule(), is(Rule.NEGATIVE_NUMBER));
    assertThat(rule.field(), is(change.field()));
    assertThat(rule.value(), is(change.value()));
    assertThat(rule.severity(), is(Severity.ERROR));
  }

  /** Guards against the claim that a job with any critical path misses its objective. */
  @ParameterizedTest
  @CsvSource({"0.5, 1000, 2000", "0.0, 1000, 1000", "0.5, 0, 0"})
  void lowSlackFactorNamesTheLongestCriticalPath(double factor, int objective, String expected) {
    List<Finding> findings =
        DeclarationCheck.findings(
            draft(
                change(QUEUE, 0, DeclaredField.SLACK_FACTOR, factor),
                change(QUEUE, 0, DeclaredField.OBJECTIVE, objective)));
    assertThat(describe(findings), is("WARNING LOW_SLACK_FACTOR orders"));
    Finding.BrokenRule rule = (Finding.BrokenRule) findings.getFirst();
    assertThat(rule.message(), containsString("more than " + expected + " ms"));
  }

  /** Guards against two findings for a queue whose jobs have no objective at all. */
  @Test
  void queueWithoutObjectiveIsFoundOnce() {
    List<Finding> findings =
        DeclarationCheck.findings(
            draft(
                change(QUEUE, 0, DeclaredField.SLACK_FACTOR, 0.0),
                change(QUEUE, 0, DeclaredField.OBJECTIVE, 0)));
    assertThat(describe(findings), is("WARNING NO_OBJECTIVE orders"));
  }

  /** A weight of 0 means no limit, so it contradicts nothing if no team has a limit. */
  @Test
  void noTeamNeedsWeight() {
    List<Finding> findings =
        DeclarationCheck.findings(
            draft(
                change(TEAM, 0, DeclaredField.WEIGHT, 0.0),
                change(TEAM, 1, DeclaredField.WEIGHT, 0.0)));
    assertThat(findings, is(empty()));
  }

  private static String describe(List<Finding> findings) {
    return String.join(
        ", ",
        findings.stream()
            .map(Finding.BrokenRule.class::cast)
            .map(rule -> rule.severity() + " " + rule.rule() + " " + rule.entry().text())
            .map(String::strip)
            .toList());
  }
}
