package org.flamingochute.decision.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** A key must name one team or one operator, so no digest may be given twice. */
final class DigestsDiffer implements FleetRule {

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
