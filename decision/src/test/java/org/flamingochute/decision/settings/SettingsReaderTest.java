package org.flamingochute.decision.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.control.Either;
import java.util.List;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.EndpointStandInSettings;
import org.flamingochute.schema.EntrySettings;
import org.flamingochute.schema.StandInSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsReaderTest {

  private static final String MINIMAL_ENTRY =
      """
      [entry]
      instance = entry-1
      data_centre = north
      [platform]
      log_address = 127.0.0.1:1
      list_address = 127.0.0.1:2
      pool_address = 127.0.0.1:3
      """;

  private final SettingsReader<StandInSettings> standIn =
      new SettingsReader<>(StandInSettings.getDefaultInstance());
  private final SettingsReader<EntrySettings> entry =
      new SettingsReader<>(EntrySettings.getDefaultInstance());

  @Test
  void absentKeysHaveDefaultValues() {
    EntrySettings settings = entry.read("entry.ini", MINIMAL_ENTRY).get();
    assertThat(settings.getEntry().getInstance(), equalTo("entry-1"));
    assertThat(settings.getTiming().getFreshnessMilliseconds(), equalTo(3000L));
    assertThat(settings.getLimit().getMaximumHeaderBytes(), equalTo(16384));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "[platform]|retained_records = ten; SETTINGS_WRONG_TYPE;"
            + " s.ini: section [platform]: key \"retained_records\": value \"ten\""
            + " is not a whole number",
        "[platform]|retained_records = 1; SETTINGS_OUT_OF_RANGE;"
            + " s.ini: section [platform]: key \"retained_records\": value \"1\""
            + " is not between 10 and 100000000 records",
        "[platform]|retained_records = 99999999999999999999; SETTINGS_OUT_OF_RANGE;"
            + " s.ini: section [platform]: key \"retained_records\":"
            + " value \"99999999999999999999\" is not between 10 and 100000000 records",
        "[platform]|address = localhost:80; SETTINGS_BAD_PATTERN;"
            + " s.ini: section [platform]: key \"address\": value \"localhost:80\""
            + " does not match [0-9.]+:[0-9]{1,5}",
        "[platform]|reboot = 5; SETTINGS_UNKNOWN_KEY;"
            + " s.ini: section [platform]: unknown key \"reboot\" with value \"5\"",
        "[platfrom]|reboot = 5; SETTINGS_UNKNOWN_SECTION;"
            + " s.ini: section [platfrom]: unknown section",
        "[platform extra]|; SETTINGS_UNKNOWN_SECTION;"
            + " s.ini: section [platform extra]: unknown section",
        "[platform]|reboot_milliseconds = 1|reboot_milliseconds = 2; SETTINGS_REPEATED;"
            + " s.ini: section [platform]: \"reboot_milliseconds\" occurs more than once",
        "[platform]|[platform]|; SETTINGS_REPEATED;"
            + " s.ini: section [platform]: \"platform\" occurs more than once",
        "reboot_milliseconds = 1; SETTINGS_UNREADABLE;"
            + " s.ini: cannot be read: parse error (at line: 1): reboot_milliseconds = 1",
        "[platform; SETTINGS_UNREADABLE;"
            + " s.ini: cannot be read: parse error (at line: 1): [platform",
        "[platform]|only words; SETTINGS_UNREADABLE;"
            + " s.ini: cannot be read: parse error (at line: 2): only words",
      })
  void eachErrorHasCompleteMessage(String text, ErrorCode code, String message) {
    Either<List<ErrorReport>, StandInSettings> result =
        standIn.read("s.ini", text.replace('|', '\n'));
    assertThat(result.getLeft().stream().map(ErrorReport::code).toList(), contains(code));
    assertThat(result.getLeft().get(0).message(), equalTo(message));
  }

  @Test
  void largestAllowedNumberIsAccepted() {
    String text = "[endpoints]\nplatform_address = 127.0.0.1:1\nseed = " + Long.MAX_VALUE + "\n";
    EndpointStandInSettings settings =
        new SettingsReader<>(EndpointStandInSettings.getDefaultInstance())
            .read("e.ini", text)
            .get();
    assertThat(settings.getEndpoints().getSeed(), equalTo(Long.MAX_VALUE));
  }

  @Test
  void allErrorsAreReportedTogether() {
    String text = "[entry]\nthreads = 0\nfoo = 1\n[timing]\ngossip_milliseconds = x\n";
    List<ErrorCode> codes =
        entry.read("entry.ini", text).getLeft().stream().map(ErrorReport::code).toList();
    assertThat(
        codes,
        contains(
            ErrorCode.SETTINGS_OUT_OF_RANGE,
            ErrorCode.SETTINGS_UNKNOWN_KEY,
            ErrorCode.SETTINGS_MISSING_KEY,
            ErrorCode.SETTINGS_MISSING_KEY,
            ErrorCode.SETTINGS_WRONG_TYPE,
            ErrorCode.SETTINGS_MISSING_SECTION));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "[timing]\ngossip_milliseconds = 77\n", "[peer]\nsecret_file = secret file\n"})
  void writtenTextReadsBackAsTheSameSettings(String addition) {
    EntrySettings settings = entry.read("entry.ini", MINIMAL_ENTRY + addition).get();
    String canonical = SettingsWriter.write(settings);
    assertThat(entry.read("canonical", canonical).get(), equalTo(settings));
    assertThat(canonical, containsString(addition));
  }
}
