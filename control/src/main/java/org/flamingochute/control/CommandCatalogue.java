package org.flamingochute.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** All commands by their names. */
final class CommandCatalogue {

  /** Commands that ask no entry. */
  private static final Set<String> LOCAL = Set.of("validate");

  private final Map<String, Command> commands = new LinkedHashMap<>();

  CommandCatalogue() {
    commands.put("validate", new ValidateCommand());
    commands.put("diff", new DiffCommand());
    commands.put("apply", new ApplyCommand());
    commands.put("show", new ShowCommand());
    commands.put("history", new HistoryCommand());
    commands.put("status", new StatusCommand());
    commands.put("grant", new GrantCommand());
    commands.put("withdraw", new WithdrawCommand());
  }

  /** Returns a command. */
  Optional<Command> find(String name) {
    return Optional.ofNullable(commands.get(name));
  }

  /** Tells whether a command asks the entries. */
  boolean needsEntry(String name) {
    return !LOCAL.contains(name);
  }

  /** Returns the names, separated by commas. */
  String names() {
    return String.join(", ", commands.keySet());
  }
}
