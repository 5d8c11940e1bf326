package org.flamingochute.control;

import java.util.ArrayList;
import java.util.List;

/**
 * A table with aligned columns, for people.
 *
 * <p>Each column is as wide as its widest cell; two spaces stand between columns, and no line ends
 * with a space.
 */
final class TextTable {

  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /** Creates a table with a first line of titles. */
  TextTable(String... titles) {
    rows.add(List.of(titles));
  }

  /** Adds a row; each cell is shown by its {@code toString()}. */
  TextTable row(Object... cells) {
    List<String> texts = new ArrayList<>();
    for (Object cell : cells) {
      texts.add(String.valueOf(cell));
    }
    rows.add(texts);
    return this;
  }

  /** Returns the text, ending with a line break; empty when the table has no rows. */
  String text() {
    if (rows.size() == 1) {
      return "";
    }
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < row.size(); column++) {
        line.append(pad(row.get(column), widthOf(column))).append(GAP);
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }

  private int widthOf(int column) {
    int width = 0;
    for (List<String> row : rows) {
      width = Math.max(width, row.get(column).length());
    }
    return width;
  }

  private static String pad(String text, int width) {
    return text + " ".repeat(width - text.length());
  }
}
