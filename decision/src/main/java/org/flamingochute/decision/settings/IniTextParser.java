package org.flamingochute.decision.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.error.ErrorReporter;
import org.ini4j.Config;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/**
 * Splits INI text into sections.
 *
 * <p>Uses the events of the INI library instead of its maps, because its maps keep only the last of
 * two equal keys, while a repeated key or section must be reported as an error here.
 */
final class IniTextParser {

  private final String source;
  private final ErrorReporter errors;

  IniTextParser(String source, ErrorReporter errors) {
    this.source = source;
    this.errors = errors;
  }

  /** Returns the sections of the text; errors are reported to the error reporter. */
  SettingsDocument parse(String text) {
    SectionCollector collector = new SectionCollector();
    try {
      IniParser.newInstance(configuration()).parse(new StringReader(text), collector);
    } catch (IOException e) {
      errors.report(ErrorReport.of(ErrorCode.SETTINGS_UNREADABLE, source, e.getMessage()));
    }
    return new SettingsDocument(source, collector.sections);
  }

  private static Config configuration() {
    Config configuration = new Config();
    configuration.setEscape(false);
    configuration.setEscapeNewline(false);
    configuration.setInclude(false);
    configuration.setTree(false);
    configuration.setEmptySection(true);
    return configuration;
  }

  private final class SectionCollector implements IniHandler {

    private final List<SettingsSection> sections = new ArrayList<>();
    private final Set<SectionName> sectionNames = new HashSet<>();
    private final Set<String> keys = new HashSet<>();
    private final List<SettingEntry> entries = new ArrayList<>();
    private SectionName currentSection;
    private boolean isRepeated;

    @Override
    public void startIni() {}

    @Override
    public void endIni() {}

    @Override
    public void handleComment(String comment) {}

    @Override
    public void startSection(String header) {
      currentSection = SectionName.parse(header);
      keys.clear();
      entries.clear();
      isRepeated = !sectionNames.add(currentSection);
      if (isRepeated) {
        errors.report(
            ErrorReport.of(ErrorCode.SETTINGS_REPEATED, source, currentSection, currentSection));
      }
    }

    @Override
    public void handleOption(String key, String value) {
      if (!keys.add(key)) {
        errors.report(ErrorReport.of(ErrorCode.SETTINGS_REPEATED, source, currentSection, key));
        return;
      }
      entries.add(new SettingEntry(key, value == null ? "" : value.strip()));
    }

    @Override
    public void endSection() {
      if (!isRepeated) {
        sections.add(new SettingsSection(currentSection, entries));
      }
    }
  }
}
