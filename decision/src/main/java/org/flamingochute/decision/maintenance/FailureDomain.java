package org.flamingochute.decision.maintenance;

import java.util.Comparator;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.RackId;

/**
 * Instances that may fail together: one rack of one data centre.
 *
 * @param dataCentre the data centre
 * @param rack the rack
 */
public record FailureDomain(DataCentreId dataCentre, RackId rack)
    implements Comparable<FailureDomain> {

  private static final Comparator<FailureDomain> ORDER =
      Comparator.comparing(FailureDomain::dataCentre).thenComparing(FailureDomain::rack);

  @Override
  public int compareTo(FailureDomain other) {
    return ORDER.compare(this, other);
  }
}
