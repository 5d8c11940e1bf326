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
 * The endpoints that may get new work, with the requests that each has in flight.
 *
 * <p>An endpoint may get new work while the agreed state has it as a live instance of the service's
 * pool and no stop of it is under way. This is looked up for each dispatch, so that a folded stop
 * takes effect at once.
 */
public final class EndpointTable {

  /** Time for which an endpoint that said that it is busy gets nothing, in milliseconds. */
  private static final long BUSY_MILLISECONDS = 20;

  private final AgreedView agreed;
  private final EndpointChooser chooser;
  private final Predicate<InstanceImage> listedLeaving;
  private final Map<InstanceId, Long> busyUntilMilliseconds = new HashMap<>();
  private final Map<InstanceId, Integer> ownInFlight = new HashMap<>();
  private final Map<Incarnation, Map<InstanceId, Integer>> remoteInFlight = new HashMap<>();

  /**
   * Creates a table without requests in flight.
   *
   * @param listedLeaving tells whether the newest instance list shows an instance as leaving, which
   *     counts before a record says so
   */
  public EndpointTable(
      AgreedView agreed, EndpointChooser chooser, Predicate<InstanceImage> listedLeaving) {
    this.agreed = agreed;
    this.chooser = chooser;
    this.listedLeaving = listedLeaving;
  }

  /**
   * Notes what a peer has in flight at endpoints; endpoints that are not named keep their value.
   */
  public synchronized void peerUsage(Incarnation peer, List<EndpointUsage> usages) {
    Map<InstanceId, Integer> ofPeer = remoteInFlight.computeIfAbsent(peer, key -> new HashMap<>());
    for (EndpointUsage usage : usages) {
      InstanceId endpoint = new InstanceId(usage.getEndpoint());
      if (usage.getInFlight() <= 0) {
        ofPeer.remove(endpoint);
        continue;
      }
      ofPeer.put(endpoint, usage.getInFlight());
    }
  }

  /** Forgets what a peer had in flight. */
  public synchronized void peerRemoved(Incarnation peer) {
    remoteInFlight.remove(peer);
  }

  /** Returns the requests of this entry that are in flight at each endpoint with any. */
  public synchronized Map<InstanceId, Integer> ownInFlight() {
    return Map.copyOf(ownInFlight);
  }

  /** Returns the requests in flight at an endpoint, of this entry and its peers. */
  public synchronized int totalInFlight(InstanceId endpoint) {
    return ownInFlight.getOrDefault(endpoint, 0) + remote(endpoint);
  }

  /** Returns the number of endpoints that may get new work of the service. */
  int endpointCount(ServiceId service) {
    return endpoints(service).size();
  }

  /**
   * Reserves a place at an endpoint.
   *
   * @param avoided endpoints that are not to be chosen
   * @return the place, or nothing when no endpoint has room
   */
  Optional<EndpointReservation> reserve(ServiceId service, Set<InstanceId> avoided, long now) {
    ServiceSection section = agreed.description().getServicesMap().get(service.value());
    if (section == null) {
      return Optional.empty();
    }
    List<InstanceImage> endpoints = endpoints(service);
    synchronized (this) {
      Optional<InstanceId> chosen = chooser.choose(loads(endpoints, section, avoided, now), now);
      if (chosen.isEmpty()) {
        return Optional.empty();
      }
      ownInFlight.merge(chosen.get(), 1, Integer::sum);
      return Optional.of(new EndpointReservation(chosen.get(), address(endpoints, chosen.get())));
    }
  }

  /** Notes that an endpoint refused a request because it is busy: the counts here are too low. */
  synchronized void noteBusy(InstanceId endpoint, long now) {
    busyUntilMilliseconds.put(endpoint, now + BUSY_MILLISECONDS);
  }

  /** Gives back a place. */
  synchronized void release(InstanceId endpoint) {
    ownInFlight.computeIfPresent(endpoint, (key, count) -> count > 1 ? count - 1 : null);
  }

  /** Tells whether the endpoint may still get new work of the service. */
  boolean mayTakeWork(ServiceId service, InstanceId endpoint) {
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
      if (isLive && !instance.hasStop() && !listedLeaving.test(instance)) {
        found.add(instance);
      }
    }
    return found;
  }

  private List<EndpointLoad> loads(
      List<InstanceImage> endpoints, ServiceSection section, Set<InstanceId> avoided, long now) {
    List<EndpointLoad> loads = new ArrayList<>();
    for (InstanceImage image : endpoints) {
      InstanceId endpoint = new InstanceId(image.getObserved().getInstance());
      if (avoided.contains(endpoint) || isBusy(endpoint, now)) {
        continue;
      }
      loads.add(
          new EndpointLoad(
              endpoint,
              ownInFlight.getOrDefault(endpoint, 0),
              remote(endpoint),
              section.getSlots(),
              section.getConnections()));
    }
    return loads;
  }

  private boolean isBusy(InstanceId endpoint, long now) {
    Long until = busyUntilMilliseconds.get(endpoint);
    if (until == null) {
      return false;
    }
    if (until <= now) {
      busyUntilMilliseconds.remove(endpoint);
      return false;
    }
    return true;
  }

  private int remote(InstanceId endpoint) {
    int total = 0;
    for (Map<InstanceId, Integer> ofPeer : remoteInFlight.values()) {
      total += ofPeer.getOrDefault(endpoint, 0);
    }
    return total;
  }

  private static String address(List<InstanceImage> endpoints, InstanceId endpoint) {
    for (InstanceImage candidate : endpoints) {
      if (candidate.getObserved().getInstance().equals(endpoint.value())) {
        return candidate.getObserved().getAddress();
      }
    }
    throw new IllegalStateException("chosen endpoint is not a candidate: " + endpoint);
  }
}
