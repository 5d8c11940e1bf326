package org.flamingochute.decision.agreement;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceObserved;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.PoolSection;

/**
 * Decides whether one more instance of a pool may be stopped for maintenance.
 *
 * <p>There are two limits. The pool keeps at least {@code minimum_available} instances that are
 * live and not being stopped; an instance that is down for another reason is not available either.
 * And the stops in progress are in at most {@code maximum_stopped_domains} racks, so that the loss
 * of a rack at the same time takes few further instances out of service.
 *
 * <p>Example: six workers, four in rack a and two in rack b, minimum 4, one domain. One worker of a
 * is stopped. A second one of a may be stopped, which leaves 4; a worker of b may not, since that
 * would be a second domain. If a third worker then fails, no worker may be stopped, not even the
 * failed one.
 *
 * <p>The check is made when the request is applied, so if two requests compete for the last stop
 * that the budget allows, every process refuses the second one in the log.
 */
public final class InstanceStopGuard {

  private InstanceStopGuard() {}

  /**
   * Returns the reason why an instance may not be stopped, if any.
   *
   * @param pool the limits of the pool
   * @param poolName the pool's name, for the message
   * @param instances all instances of the pool that are not gone
   * @param candidate the instance to stop, one of {@code instances}
   */
  public static Optional<ErrorReport> refusal(
      PoolSection pool,
      String poolName,
      Collection<InstanceImage> instances,
      InstanceImage candidate) {
    long availableAfterStop = countAvailable(instances) - (isAvailable(candidate) ? 1 : 0);
    String name = candidate.getObserved().getInstance();
    if (availableAfterStop < pool.getMinimumAvailable()) {
      return Optional.of(
          ErrorReport.of(
              ErrorCode.BUDGET_EXCEEDED,
              name,
              availableAfterStop,
              poolName,
              pool.getMinimumAvailable()));
    }
    int domains = countStoppedDomains(instances, candidate);
    if (domains > pool.getMaximumStoppedDomains()) {
      return Optional.of(
          ErrorReport.of(
              ErrorCode.DOMAIN_LIMIT, name, domains, poolName, pool.getMaximumStoppedDomains()));
    }
    return Optional.empty();
  }

  /** Returns the number of instances that can accept work. */
  public static long countAvailable(Collection<InstanceImage> instances) {
    return instances.stream().filter(InstanceStopGuard::isAvailable).count();
  }

  /** Returns whether an instance can accept work: it is live and not being stopped. */
  public static boolean isAvailable(InstanceImage instance) {
    return instance.getObserved().getState() == InstanceState.INSTANCE_LIVE && !instance.hasStop();
  }

  private static int countStoppedDomains(
      Collection<InstanceImage> instances, InstanceImage candidate) {
    Set<Domain> domains = new HashSet<>();
    domains.add(Domain.of(candidate));
    for (InstanceImage instance : instances) {
      if (instance.hasStop()) {
        domains.add(Domain.of(instance));
      }
    }
    return domains.size();
  }

  private record Domain(String dataCentre, String rack) {

    static Domain of(InstanceImage instance) {
      InstanceObserved observed = instance.getObserved();
      return new Domain(observed.getDataCentre(), observed.getRack());
    }
  }
}
