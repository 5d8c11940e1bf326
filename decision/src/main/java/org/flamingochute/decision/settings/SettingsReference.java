package org.flamingochute.decision.settings;

import com.google.protobuf.Message;

/**
 * Renders every key that a kind of file may have as Markdown tables, one for each section.
 *
 * <p>The pages in docs are made by this class, so that they cannot differ from what is accepted.
 */
public final class SettingsReference {

  private static final String TABLE_HEAD =
      """
      | key | value | default | limits | meaning |
      |---|---|---|---|---|
      """;

  private SettingsReference() {}

  /**
   * Returns the tables of all sections.
   *
   * @param root the default instance of the root message
   * @param headingPrefix the Markdown heading of a section, for example {@code "###"}
   */
  public static String render(Message root, String headingPrefix) {
    StringBuilder page = new StringBuilder();
    for (SectionSchema schema : SectionSchema.of(root.getDescriptorForType())) {
      page.append(headingPrefix).append(" `").append(header(schema)).append("`\n\n");
      page.append(TABLE_HEAD);
      for (SettingKey key : schema.keys()) {
        appendRow(page, key);
      }
      page.append('\n');
    }
    return page.toString();
  }

  private static String header(SectionSchema schema) {
    return schema.isNamed() ? "[" + schema.kind() + " NAME]" : "[" + schema.kind() + "]";
  }

  private static void appendRow(StringBuilder page, SettingKey key) {
    page.append("| `").append(key.name()).append("` | ");
    page.append(key.typeName()).append(" | ");
    page.append(defaultText(key)).append(" | ");
    page.append(limitText(key)).append(" | ");
    page.append(escape(key.rule().getHelp())).append(" |\n");
  }

  private static String defaultText(SettingKey key) {
    if (key.rule().getRequired()) {
      return "required";
    }
    String value = key.rule().getDefaultValue();
    return value.isEmpty() ? "empty" : "`" + escape(value) + "`";
  }

  private static String limitText(SettingKey key) {
    if (key.isLimited()) {
      return (key.minimum() + " to " + key.maximum() + " " + key.rule().getUnit()).strip();
    }
    String pattern = key.rule().getPattern();
    return pattern.isEmpty() ? "" : "`" + escape(pattern) + "`";
  }

  private static String escape(String text) {
    return text.replace("|", "\\|");
  }
}
