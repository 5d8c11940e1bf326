package org.flamingochute.engine.request;

import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.fleet.KeyDirectory;
import org.flamingochute.schema.FleetDescription;

/** The key directory of the description in force, built once for each description. */
public final class CurrentKeys {

  private final AgreedView agreed;
  private volatile Built built;

  /** Creates the keys of the description in force now. */
  public CurrentKeys(AgreedView agreed) {
    this.agreed = agreed;
    this.built = build(agreed.description());
  }

  /** Returns the directory of the description that is in force at this call. */
  public KeyDirectory directory() {
    FleetDescription description = agreed.description();
    Built present = built;
    if (present.description() != description) {
      present = build(description);
      built = present;
    }
    return present.directory();
  }

  private static Built build(FleetDescription description) {
    return new Built(description, new KeyDirectory(description));
  }

  private record Built(FleetDescription description, KeyDirectory directory) {}
}
