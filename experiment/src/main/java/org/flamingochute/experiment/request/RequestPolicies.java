package org.flamingochute.experiment.request;

import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.admission.FairQueueSettings;
import org.flamingochute.decision.admission.FairRequestQueue;
import org.flamingochute.decision.admission.FirstComeFirstServedQueue;
import org.flamingochute.decision.admission.QueueBounds;
import org.flamingochute.decision.admission.WithinTeamOrder;
import org.flamingochute.decision.dispatch.EndpointChooser;
import org.flamingochute.decision.dispatch.EndpointPreference;
import org.flamingochute.decision.dispatch.LeastLoadedOfTwoChooser;
import org.flamingochute.decision.dispatch.OutlierDetector;
import org.flamingochute.decision.dispatch.OutlierSettings;
import org.flamingochute.decision.dispatch.RandomEndpointChooser;

/** The policies compared by the request experiments. */
final class RequestPolicies {

  private static final QueueBounds QUEUE_BOUNDS = new QueueBounds(256, 256);

  private RequestPolicies() {}

  /** Returns a policy that serves requests in order of arrival. */
  static RequestPolicy firstComeFirstServed() {
    return new RequestPolicy(
        "first-come",
        shares -> new FirstComeFirstServedQueue<>(QUEUE_BOUNDS),
        leastLoadedChooser(EndpointPreference.OWN_IN_FLIGHT, 1.5),
        true,
        false);
  }

  /** Returns a fair-queueing policy that counts only the service at the entry itself. */
  static RequestPolicy fairLocal() {
    return fair("fair-local", new WithinTeamOrder.NewestUnderOverload(250), false);
  }

  /** Returns the fair-queueing policy of the product, which counts service in the whole fleet. */
  static RequestPolicy fairFleet() {
    return fair("fair-fleet", new WithinTeamOrder.NewestUnderOverload(250), true);
  }

  /** Returns a fleet-wide fair-queueing policy that always orders within a team by deadline. */
  static RequestPolicy fairByDeadline() {
    return fair("fair-by-deadline", new WithinTeamOrder.EarliestDeadline(), true);
  }

  /**
   * Returns a fleet-wide fair-queueing policy in which the fraction of the slots that an entry may
   * always use depends on the waiting requests. The product does not use it.
   */
  static RequestPolicy fairSlots() {
    RequestPolicy fair = fairFleet();
    EndpointChooserFactory chooserFactory =
        (random, entryCount, slotFraction) ->
            new LeastLoadedOfTwoChooser(
                random,
                new OutlierDetector(OutlierSettings.defaults()),
                () -> entryCount,
                slotFraction);
    return new RequestPolicy("fair-slots", fair.queueFactory(), chooserFactory, true, true);
  }

  private static RequestPolicy fair(
      String name, WithinTeamOrder order, boolean gossipsStartedRequests) {
    FairQueueSettings settings =
        FairQueueSettings.builder().bounds(QUEUE_BOUNDS).order(order).build();
    return new RequestPolicy(
        name,
        shares -> new FairRequestQueue<>(settings, shares),
        leastLoadedChooser(EndpointPreference.OWN_IN_FLIGHT, 1.5),
        true,
        gossipsStartedRequests);
  }

  /** Returns a fleet-wide fair-queueing policy with the given endpoint chooser. */
  static RequestPolicy withChooser(
      String name, EndpointChooserFactory chooserFactory, boolean gossipsLoad) {
    RequestPolicy fair = fairFleet();
    return new RequestPolicy(name, fair.queueFactory(), chooserFactory, gossipsLoad, true);
  }

  static EndpointChooserFactory leastLoadedChooser(
      EndpointPreference preference, double guaranteedFactor) {
    return (random, entryCount, slotFraction) ->
        new LeastLoadedOfTwoChooser(
            random,
            new OutlierDetector(OutlierSettings.defaults()),
            () -> entryCount,
            preference,
            guaranteedFactor);
  }

  static EndpointChooser randomChooser(
      UniformRandomProvider random, int entryCount, DoubleSupplier slotFraction) {
    return new RandomEndpointChooser(random);
  }
}
