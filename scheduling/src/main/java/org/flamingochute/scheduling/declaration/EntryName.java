package org.flamingochute.scheduling.declaration;

/**
 * Identifies an entry of a declaration.
 *
 * @param kind kind of the entry
 * @param text declared name; the position in its list, as {@code #2}, if it has no valid name;
 *     empty for the declaration itself
 */
public record EntryName(EntryKind kind, String text) {
  /** The declaration itself. */
  public static final EntryName DECLARATION = new EntryName(EntryKind.DECLARATION, "");
}
