package org.flamingochute.decision.fleet;

import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.SettingChange;

/** A small valid fleet description for tests. */
public final class FleetFixture {

  /** Key of the operator {@code ana}, who may patch. */
  public static final String OPERATOR_KEY = "ana's key";

  /** Key of the team {@code shop}. */
  public static final String TEAM_KEY = "the shop's key";

  /** The description as INI text. */
  public static final String TEXT =
      """
      [fleet]
      company = Example
      spare_pool = spare

      [pool quotes]
      kind = runner
      size = 4
      minimum_available = 2

      [pool prints]
      kind = worker
      size = 4
      minimum_available = 3

      [pool spare]
      kind = runner
      size = 2

      [service quote]
      pool = quotes

      [team club]
      share = 1
      cap = 6

      [team shop]
      share = 3
      cap = 10

      [key shop-1]
      team = shop
      digest = %s

      [operator ana]
      digest = %s
      rights = patch

      [wave winter]
      pools = quotes, prints
      """
          .formatted(KeyDigest.of(TEAM_KEY), KeyDigest.of(OPERATOR_KEY));

  private FleetFixture() {}

  /** Returns the description at version 0. */
  public static FleetDescription description() {
    return new FleetDescriptionParser().parse("fleet.ini", TEXT).get();
  }

  /** Returns a change that sets a key. */
  public static SettingChange set(String kind, String name, String key, String value) {
    return remove(kind, name, key).toBuilder().setValue(value).build();
  }

  /** Returns a change that removes a key, or with an empty key the whole section. */
  public static SettingChange remove(String kind, String name, String key) {
    return SettingChange.newBuilder().setSectionKind(kind).setSectionName(name).setKey(key).build();
  }
}
