package org.flamingochute.engine.request;

import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.fleet.KeyDirectory;
import org.flamingochute.schema.FleetDescription;

/** Caches the key directory of the current fleet description; rebuilds it for each new one. */
public final class KeyDirectoryCache {

  private final AgreedView agreed;
  private volatile CachedDirectory cached;

  /** Creates a cache that contains the directory of the current description. */
  public KeyDirectoryCache(AgreedView agreed) {
    this.agreed = agreed;
    this.cached = build(agreed.description());
  }

  /** Returns the directory of the description that is current at this call. */
  public KeyDirectory directory() {
    FleetDescription description = agreed.description();
    CachedDirectory current = cached;
    if (current.description() != description) {
      current = build(description);
      cached = current;
    }
    return current.directory();
  }

  private static CachedDirectory build(FleetDescription description) {
    return new CachedDirectory(description, new KeyDirectory(description));
  }

  private record CachedDirectory(FleetDescription description, KeyDirectory directory) {}
}
