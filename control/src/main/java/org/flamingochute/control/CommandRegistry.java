package org.flamingochute.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** All commands by name. */
final class CommandRegistry {

  /** Commands that do not contact an entry. */
  private static final Set<String> LOCAL_COMMANDS = Set.of("validate");

  private final Map<String, Command> commands = new LinkedHashMap<>();

  CommandRegistry() {
    commands.put("validate", new ValidateCommand());
    commands.put("diff", new DiffCommand());
    commands.put("apply", new ApplyCommand());
    commands.put("show", new ShowCommand());
    commands.put("history", new HistoryCommand());
    commands.put("status", new StatusCommand());
    commands.put("grant", new GrantCommand());
    commands.put("withdraw", new WithdrawCommand());
  }

  /** Returns the command with a name, or empty if there is none. */
  Optional<Command> find(String name) {
    return Optional.ofNullable(commands.get(name));
  }

  /** Returns whether a command contacts the entries. */
  boolean needsEntry(String name) {
    return !LOCAL_COMMANDS.contains(name);
  }

  /** Returns the command names, separated by commas. */
  String names() {
    return String.join(", ", commands.keySet());
  }
}
