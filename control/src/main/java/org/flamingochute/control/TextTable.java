package org.flamingochute.control;

import java.util.ArrayList;
import java.util.List;

/**
 * A plain-text table with aligned columns.
 *
 * <p>Each column is as wide as its widest cell. Columns are separated by two spaces, and lines have
 * no trailing spaces.
 */
final class TextTable {

  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /** Creates a table with a header row. */
  TextTable(String... titles) {
    rows.add(List.of(titles));
  }

  /** Adds a row; cells are converted with {@code String.valueOf}. */
  TextTable addRow(Object... cells) {
    List<String> texts = new ArrayList<>();
    for (Object cell : cells) {
      texts.add(String.valueOf(cell));
    }
    rows.add(texts);
    return this;
  }

  /** Returns the table, ending with a line break, or an empty string if it has no rows. */
  String toText() {
    if (rows.size() == 1) {
      return "";
    }
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < row.size(); column++) {
        line.append(pad(row.get(column), columnWidth(column))).append(COLUMN_SEPARATOR);
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }

  private int columnWidth(int column) {
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
