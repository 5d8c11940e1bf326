package org.flamingochute.decision.fleet;

import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.OperatorSection;

/** The rights of operators. */
public final class OperatorRights {

  /** Right to read. */
  public static final String READ = "read";

  /** Right to read and to patch the description. */
  public static final String PATCH = "patch";

  /** Name of the operator who may apply the first patch, before there is a description. */
  public static final String BOOTSTRAP_OPERATOR = "bootstrap";

  private OperatorRights() {}

  /** Returns whether the named operator may patch the given description. */
  public static boolean mayPatch(FleetDescription description, String operator) {
    if (description.getVersion() == 0) {
      return operator.equals(BOOTSTRAP_OPERATOR);
    }
    OperatorSection section = description.getOperatorsMap().get(operator);
    return section != null && section.getRights().equals(PATCH);
  }
}
