package org.flamingochute.testsuite.scenario;

import org.flamingochute.decision.settings.SettingsReader;
import org.flamingochute.schema.EntrySettings;

/**
 * The settings of entries in scenarios: the schema defaults, except for the required keys, a
 * shorter queue and more frequent snapshots.
 */
public final class ScenarioSettings {

  private static final String SETTINGS =
      """
      [entry]
      instance = scenario
      data_centre = dc1
      [platform]
      log_address = 127.0.0.1:1
      list_address = 127.0.0.1:1
      pool_address = 127.0.0.1:1
      [limit]
      maximum_waiting_requests = 64
      [timing]
      snapshot_records = 200
      """;

  private ScenarioSettings() {}

  /** Returns the standard settings. */
  public static EntrySettings standard() {
    return new SettingsReader<>(EntrySettings.getDefaultInstance())
        .read("scenario", SETTINGS)
        .getOrElseThrow(errors -> new IllegalStateException(errors.toString()));
  }
}
