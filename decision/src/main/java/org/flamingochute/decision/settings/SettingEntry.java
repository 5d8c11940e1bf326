package org.flamingochute.decision.settings;

/**
 * One key with its value in a section.
 *
 * @param key the text before the equals sign
 * @param value the text after it, without surrounding white space
 */
public record SettingEntry(String key, String value) {}
