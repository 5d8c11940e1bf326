package org.flamingochute.decision.fleet;

import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.OperatorSection;

/** What operators may do. */
public final class OperatorRights {

  /** Right to look. */
  public static final String READ = "read";

  /** Right to look and to change the description. */
  public static final String PATCH = "patch";

  /** Name of the operator who may apply the first patch, while no description is in force. */
  public static final String BOOTSTRAP_OPERATOR = "bootstrap";

  private OperatorRights() {}

  /** Tells whether a patch by the named operator is allowed at the given description. */
  public static boolean mayPatch(FleetDescription description, String operator) {
    if (description.getVersion() == 0) {
      return operator.equals(BOOTSTRAP_OPERATOR);
    }
    OperatorSection section = description.getOperatorsMap().get(operator);
    return section != null && section.getRights().equals(PATCH);
  }
}
