package org.flamingochute.decision.fleet;

import io.vavr.control.Either;
import java.util.List;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.settings.SettingsReader;
import org.flamingochute.schema.FleetDescription;

/** Parses a fleet description from INI text and validates it. */
public final class FleetDescriptionParser {

  private final SettingsReader<FleetDescription> reader =
      new SettingsReader<>(FleetDescription.getDefaultInstance());
  private final FleetDescriptionValidator validator = new FleetDescriptionValidator();

  /**
   * Parses a text. The result has version 0, since a file has no version.
   *
   * @param source the name of the file, for error messages
   * @param text the content of the file
   * @return the description, or all errors of the text
   */
  public Either<List<ErrorReport>, FleetDescription> parse(String source, String text) {
    return reader.read(source, text).flatMap(validator::validate);
  }
}
