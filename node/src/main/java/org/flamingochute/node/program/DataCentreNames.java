package org.flamingochute.node.program;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Set;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.Identifiers;

/** Parses the setting {@code data_centres}, the names of all data centres. */
final class DataCentreNames {
  private static final String SECTION = "instance";
  private static final String KEY = "data_centres";
  private static final String EXPECTED =
      "a list of names of up to " + Identifiers.MAXIMUM_LENGTH + " characters";

  private DataCentreNames() {}

  /**
   * Parses names that are separated by commas; blank ones are skipped.
   *
   * @param source name of the settings file, for the error
   */
  static Either<ErrorReport, Set<DataCentreId>> parse(String source, String names) {
    Set<DataCentreId> dataCentres = new HashSet<>();
    for (String name : names.split(",")) {
      String stripped = name.strip();
      if (stripped.isEmpty()) {
        continue;
      }
      if (!Identifiers.isValid(stripped)) {
        return Either.left(
            ErrorReport.of(
                ErrorCode.SETTINGS_WRONG_TYPE, source, SECTION, KEY, stripped, EXPECTED));
      }
      dataCentres.add(new DataCentreId(stripped));
    }
    return Either.right(dataCentres);
  }
}
