package org.flamingochute.decision.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** A key identifies one team or one operator, so all digests must be different. */
final class DigestsAreUnique implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    Map<String, String> ownerOfDigest = new HashMap<>();
    new TreeMap<>(description.getKeysMap())
        .forEach((name, key) -> checkDigest("key", name, key.getDigest(), ownerOfDigest, errors));
    new TreeMap<>(description.getOperatorsMap())
        .forEach(
            (name, operator) ->
                checkDigest("operator", name, operator.getDigest(), ownerOfDigest, errors));
  }

  private static void checkDigest(
      String kind,
      String name,
      String digest,
      Map<String, String> ownerOfDigest,
      ErrorReporter errors) {
    String owner = ownerOfDigest.putIfAbsent(digest, kind + " " + name);
    if (owner != null) {
      errors.report(
          FleetRule.invalid(kind, name, "digest", digest, "given in section [" + owner + "] too"));
    }
  }
}
