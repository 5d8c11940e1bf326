package org.flamingochute.scheduling.declaration;

import java.util.List;

/** Something that the operators should know about a declaration before they send it. */
public sealed interface Finding {
  /** Returns the severity. */
  default Severity severity() {
    return Severity.ERROR;
  }

  /**
   * The text is not a JSON object.
   *
   * @param detail what is wrong, without the text itself, which may have API keys
   */
  record UnreadableText(String detail) implements Finding {}

  /** A section that is not a list, or an element of it that is not an object. */
  record MalformedEntry(EntryName entry, String detail) implements Finding {}

  /** A required field is missing or empty. */
  record MissingField(EntryName entry, DeclaredField field) implements Finding {}

  /**
   * The value of a field has the wrong type.
   *
   * @param actual the value, or only its type if it may have API keys
   */
  record MalformedField(EntryName entry, DeclaredField field, String actual, String expected)
      implements Finding {}

  /**
   * A field breaks a rule.
   *
   * @param argument what the rule's message is about, or empty
   */
  record BrokenRule(
      Rule rule, EntryName entry, DeclaredField field, DeclaredValue value, String argument)
      implements Finding {
    @Override
    public Severity severity() {
      return rule.severity();
    }

    /** Returns what is wrong. */
    public String message() {
      return rule.template().formatted(argument);
    }
  }

  /** An entry is not in the declaration in force. */
  record Added(EntryName entry) implements Finding {
    @Override
    public Severity severity() {
      return Severity.DIFFERENCE;
    }
  }

  /**
   * An entry is only in the declaration in force.
   *
   * @param users entries of the new declaration that refer to it
   */
  record Removed(EntryName entry, List<EntryName> users) implements Finding {
    /** Copies the list. */
    public Removed {
      users = List.copyOf(users);
    }

    @Override
    public Severity severity() {
      return users.isEmpty() ? Severity.DIFFERENCE : Severity.ERROR;
    }
  }

  /** A field has another value than in the declaration in force. */
  record Changed(
      EntryName entry, DeclaredField field, DeclaredValue oldValue, DeclaredValue newValue)
      implements Finding {
    @Override
    public Severity severity() {
      return Severity.DIFFERENCE;
    }
  }
}
