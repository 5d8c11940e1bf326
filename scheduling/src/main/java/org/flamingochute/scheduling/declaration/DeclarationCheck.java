package org.flamingochute.scheduling.declaration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Finds what is wrong in a declaration by itself. Rules on fields without a value are skipped. */
public final class DeclarationCheck {
  private final DeclarationDraft draft;
  private final List<Finding> findings = new ArrayList<>();

  private DeclarationCheck(DeclarationDraft draft) {
    this.draft = draft;
  }

  /** Returns the findings in the order of the entries. */
  public static List<Finding> findings(DeclarationDraft draft) {
    DeclarationCheck check = new DeclarationCheck(draft);
    check.checkNames(draft.queues(), DeclaredField.QUEUE_NAME, "queue");
    check.checkNames(draft.pools(), DeclaredField.POOL_NAME, "pool");
    check.checkNames(draft.teams(), DeclaredField.TEAM_NAME, "team");
    check.checkNumbers();
    check.checkAddresses();
    draft.queues().forEach(check::checkLimits);
    check.checkPools();
    check.checkStandby();
    check.checkKeys();
    check.checkWeights();
    return check.findings;
  }

  private void checkNames(List<DeclaredEntry> entries, DeclaredField field, String kind) {
    Set<String> names = new HashSet<>();
    for (DeclaredEntry entry : entries) {
      Optional<String> name = entry.text(field);
      if (name.isPresent() && !names.add(name.get())) {
        add(Rule.DUPLICATE_NAME, entry, field, kind);
      }
    }
  }

  private void checkNumbers() {
    draft
        .entries()
        .forEach(
            entry -> {
              for (DeclaredField field : DeclaredField.of(entry.name().kind())) {
                if (entry.number(field).orElse(0) < 0) {
                  add(Rule.NEGATIVE_NUMBER, entry, field, "");
                }
              }
            });
  }

  private void checkAddresses() {
    Map<List<String>, DeclaredEntry> queuesByAddress = new HashMap<>();
    for (DeclaredEntry queue : draft.queues()) {
      Optional<String> host = queue.text(DeclaredField.HOST);
      Optional<String> prefix = queue.text(DeclaredField.PATH_PREFIX);
      if (host.isPresent() && (host.get().isEmpty() || host.get().contains(":"))) {
        add(Rule.HOST_OF_NO_CALL, queue, DeclaredField.HOST, "");
      }
      if (prefix.isPresent() && !(prefix.get().startsWith("/") && prefix.get().endsWith("/"))) {
        add(Rule.PREFIX_WITHOUT_SLASH, queue, DeclaredField.PATH_PREFIX, "");
      }
      if (host.isEmpty() || prefix.isEmpty()) {
        continue;
      }
      DeclaredEntry earlier = queuesByAddress.putIfAbsent(List.of(host.get(), prefix.get()), queue);
      if (earlier != null) {
        add(Rule.SAME_ADDRESS, queue, DeclaredField.PATH_PREFIX, earlier.name().text());
      }
    }
  }

  /** Checks the limits of one queue. Negative ones are reported as such. */
  private void checkLimits(DeclaredEntry queue) {
    if (isZero(queue, DeclaredField.MAXIMUM_ATTEMPTS)) {
      add(Rule.NO_ATTEMPT, queue, DeclaredField.MAXIMUM_ATTEMPTS, "");
    }
    if (isZero(queue, DeclaredField.TIMEOUT)) {
      add(Rule.NO_TIMEOUT, queue, DeclaredField.TIMEOUT, "");
    }
    double slackFactor = queue.number(DeclaredField.SLACK_FACTOR).orElse(1);
    double objective = queue.number(DeclaredField.OBJECTIVE).orElse(-1);
    if (slackFactor == 0 && objective == 0) {
      add(Rule.NO_OBJECTIVE, queue, DeclaredField.OBJECTIVE, "");
    } else if (slackFactor >= 0 && slackFactor < 1 && objective >= 0) {
      // The longest critical path p for which slackFactor * p + objective is at least p.
      long longestPath = Math.round(objective / (1 - slackFactor));
      add(Rule.LOW_SLACK_FACTOR, queue, DeclaredField.SLACK_FACTOR, Long.toString(longestPath));
    }
  }

  private static boolean isZero(DeclaredEntry entry, DeclaredField field) {
    return entry.number(field).orElse(1) == 0;
  }

  private void checkPools() {
    Set<String> poolNames = new HashSet<>();
    draft.pools().forEach(pool -> pool.text(DeclaredField.POOL_NAME).ifPresent(poolNames::add));
    Set<String> usedNames = new HashSet<>();
    for (DeclaredEntry queue : draft.queues()) {
      Optional<String> pool = queue.text(DeclaredField.QUEUE_POOL);
      pool.ifPresent(usedNames::add);
      if (pool.isPresent() && !poolNames.contains(pool.get())) {
        add(Rule.UNKNOWN_POOL, queue, DeclaredField.QUEUE_POOL, "");
      }
    }
    for (DeclaredEntry pool : draft.pools()) {
      Optional<String> name = pool.text(DeclaredField.POOL_NAME);
      boolean isUnused = name.isPresent() && !usedNames.contains(name.get());
      if (isUnused && !pool.isSet(DeclaredField.STANDBY)) {
        add(Rule.UNUSED_POOL, pool, DeclaredField.POOL_NAME, "");
      }
    }
  }

  private void checkStandby() {
    List<DeclaredEntry> standbyPools =
        draft.pools().stream().filter(pool -> pool.isSet(DeclaredField.STANDBY)).toList();
    if (standbyPools.isEmpty()) {
      findings.add(
          new Finding.BrokenRule(
              Rule.NO_STANDBY_POOL,
              EntryName.DECLARATION,
              DeclaredField.STANDBY,
              new DeclaredValue.Flag(false),
              ""));
      return;
    }
    String first = standbyPools.getFirst().name().text();
    standbyPools.stream()
        .skip(1)
        .forEach(pool -> add(Rule.SECOND_STANDBY_POOL, pool, DeclaredField.STANDBY, first));
  }

  private void checkKeys() {
    Map<String, DeclaredEntry> teamsByKey = new HashMap<>();
    for (DeclaredEntry team : draft.teams()) {
      if (team.value(DeclaredField.API_KEYS).isPresent()
          && team.secrets(DeclaredField.API_KEYS).isEmpty()) {
        add(Rule.TEAM_WITHOUT_KEYS, team, DeclaredField.API_KEYS, "");
      }
      for (String key : new TreeSet<>(team.secrets(DeclaredField.API_KEYS))) {
        DeclaredEntry earlier = teamsByKey.putIfAbsent(key, team);
        if (earlier != null) {
          findings.add(
              new Finding.BrokenRule(
                  Rule.SHARED_KEY,
                  team.name(),
                  DeclaredField.API_KEYS,
                  new DeclaredValue.Secrets(Set.of(key)),
                  earlier.name().text()));
        }
      }
    }
  }

  private void checkWeights() {
    Optional<DeclaredEntry> limited =
        draft.teams().stream()
            .filter(team -> team.number(DeclaredField.WEIGHT).orElse(0) > 0)
            .findFirst();
    if (limited.isEmpty()) {
      return;
    }
    for (DeclaredEntry team : draft.teams()) {
      if (isZero(team, DeclaredField.WEIGHT)) {
        add(Rule.NO_WEIGHT, team, DeclaredField.WEIGHT, limited.get().name().text());
      }
    }
  }

  private void add(Rule rule, DeclaredEntry entry, DeclaredField field, String argument) {
    findings.add(
        new Finding.BrokenRule(
            rule, entry.name(), field, entry.value(field).orElseThrow(), argument));
  }
}
