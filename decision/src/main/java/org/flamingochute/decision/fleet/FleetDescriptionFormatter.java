package org.flamingochute.decision.fleet;

import org.flamingochute.decision.settings.SettingsWriter;
import org.flamingochute.schema.FleetDescription;

/** Formats a fleet description as canonical INI text, without its version. */
public final class FleetDescriptionFormatter {

  /** Returns the text; equal descriptions have equal texts. */
  public String format(FleetDescription description) {
    return SettingsWriter.write(description);
  }
}
