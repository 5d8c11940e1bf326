package org.flamingochute.engine.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.dispatch.EndpointChooser;
import org.flamingochute.decision.dispatch.EndpointLoad;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.ServiceId;
import org.flamingochute.schema.EndpointUsage;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ServiceSection;

/**
 * The endpoints that may receive new work, with the number of requests in flight at each.
 *
 * <p>An endpoint may receive new work while the agreed state lists it as a live instance of the
 * service's pool, it has no stop in progress, and the newest instance list does not show it as
 * leaving. This is looked up for each dispatch, so that a stop takes effect as soon as its record
 * is applied.
 */
public final class EndpointTable {

  /** Time for which an endpoint that reported itself as busy receives no requests. */
  private static final long BUSY_MILLISECONDS = 20;

  private final AgreedView agreed;
  private final EndpointChooser chooser;
  private final Predicate<InstanceImage> isListedLeaving;
  private final Map<InstanceId, Long> busyUntilMilliseconds = new HashMap<>();
  private final Map<InstanceId, Integer> localInFlight = new HashMap<>();
  private final Map<Incarnation, Map<InstanceId, Integer>> remoteInFlight = new HashMap<>();

  /**
   * Creates a table without requests in flight.
   *
   * @param isListedLeaving returns whether the newest instance list shows an instance as leaving;
   *     it is excluded even before a record says so
   */
  public EndpointTable(
      AgreedView agreed, EndpointChooser chooser, Predicate<InstanceImage> isListedLeaving) {
    this.agreed = agreed;
    this.chooser = chooser;
    this.isListedLeaving = isListedLeaving;
  }

  /**
   * Updates a peer's requests in flight at endpoints; endpoints that are not listed keep their
   * value.
   */
  public synchronized void updatePeerUsage(Incarnation peer, List<EndpointUsage> usages) {
    Map<InstanceId, Integer> peerInFlight =
        remoteInFlight.computeIfAbsent(peer, key -> new HashMap<>());
    for (EndpointUsage usage : usages) {
      InstanceId endpoint = new InstanceId(usage.getEndpoint());
      if (usage.getInFlight() <= 0) {
        peerInFlight.remove(endpoint);
        continue;
      }
      peerInFlight.put(endpoint, usage.getInFlight());
    }
  }

  /** Removes a peer's requests in flight. */
  public synchronized void removePeer(Incarnation peer) {
    remoteInFlight.remove(peer);
  }

  /** Returns the requests of this entry in flight, for each endpoint with at least one. */
  public synchronized Map<InstanceId, Integer> localInFlight() {
    return Map.copyOf(localInFlight);
  }

  /** Returns the requests in flight at an endpoint, from this entry and its peers. */
  public synchronized int totalInFlight(InstanceId endpoint) {
    return localInFlight.getOrDefault(endpoint, 0) + remoteInFlight(endpoint);
  }

  /** Returns the number of endpoints that may receive new work of the service. */
  int endpointCount(ServiceId service) {
    return endpoints(service).size();
  }

  /**
   * Reserves a slot of an endpoint.
   *
   * @param excluded endpoints that must not be chosen
   * @return the reservation, or empty if no endpoint has a free slot
   */
  Optional<EndpointReservation> reserve(
      ServiceId service, Set<InstanceId> excluded, long nowMilliseconds) {
    ServiceSection section = agreed.description().getServicesMap().get(service.value());
    if (section == null) {
      return Optional.empty();
    }
    List<InstanceImage> endpoints = endpoints(service);
    synchronized (this) {
      Optional<InstanceId> chosen =
          chooser.choose(
              endpointLoads(endpoints, section, excluded, nowMilliseconds), nowMilliseconds);
      if (chosen.isEmpty()) {
        return Optional.empty();
      }
      localInFlight.merge(chosen.get(), 1, Integer::sum);
      return Optional.of(new EndpointReservation(chosen.get(), address(endpoints, chosen.get())));
    }
  }

  /**
   * Excludes an endpoint for a short time after it refused a request as busy: the counts here are
   * too low.
   */
  synchronized void markBusy(InstanceId endpoint, long nowMilliseconds) {
    busyUntilMilliseconds.put(endpoint, nowMilliseconds + BUSY_MILLISECONDS);
  }

  /** Releases a slot. */
  synchronized void release(InstanceId endpoint) {
    localInFlight.computeIfPresent(endpoint, (key, count) -> count > 1 ? count - 1 : null);
  }

  /** Returns whether the endpoint may still receive new work of the service. */
  boolean acceptsWork(ServiceId service, InstanceId endpoint) {
    for (InstanceImage candidate : endpoints(service)) {
      if (candidate.getObserved().getInstance().equals(endpoint.value())) {
        return true;
      }
    }
    return false;
  }

  private List<InstanceImage> endpoints(ServiceId service) {
    ServiceSection section = agreed.description().getServicesMap().get(service.value());
    List<InstanceImage> found = new ArrayList<>();
    if (section == null) {
      return found;
    }
    for (InstanceImage instance : agreed.instances(new PoolId(section.getPool()))) {
      boolean isLive = instance.getObserved().getState() == InstanceState.INSTANCE_LIVE;
      if (isLive && !instance.hasStop() && !isListedLeaving.test(instance)) {
        found.add(instance);
      }
    }
    return found;
  }

  private List<EndpointLoad> endpointLoads(
      List<InstanceImage> endpoints,
      ServiceSection section,
      Set<InstanceId> excluded,
      long nowMilliseconds) {
    List<EndpointLoad> loads = new ArrayList<>();
    for (InstanceImage image : endpoints) {
      InstanceId endpoint = new InstanceId(image.getObserved().getInstance());
      if (excluded.contains(endpoint) || isBusy(endpoint, nowMilliseconds)) {
        continue;
      }
      loads.add(
          new EndpointLoad(
              endpoint,
              localInFlight.getOrDefault(endpoint, 0),
              remoteInFlight(endpoint),
              section.getSlots(),
              section.getConnections()));
    }
    return loads;
  }

  private boolean isBusy(InstanceId endpoint, long nowMilliseconds) {
    Long busyUntil = busyUntilMilliseconds.get(endpoint);
    if (busyUntil == null) {
      return false;
    }
    if (busyUntil <= nowMilliseconds) {
      busyUntilMilliseconds.remove(endpoint);
      return false;
    }
    return true;
  }

  private int remoteInFlight(InstanceId endpoint) {
    int total = 0;
    for (Map<InstanceId, Integer> peerInFlight : remoteInFlight.values()) {
      total += peerInFlight.getOrDefault(endpoint, 0);
    }
    return total;
  }

  private static String address(List<InstanceImage> endpoints, InstanceId endpoint) {
    for (InstanceImage candidate : endpoints) {
      if (candidate.getObserved().getInstance().equals(endpoint.value())) {
        return candidate.getObserved().getAddress();
      }
    }
    throw new IllegalStateException("the chosen endpoint is not a candidate: " + endpoint);
  }
}
