package org.flamingochute.experiment.request;

import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.admission.FairQueueSettings;
import org.flamingochute.decision.admission.FairRequestQueue;
import org.flamingochute.decision.admission.FirstComeRequestQueue;
import org.flamingochute.decision.admission.QueueBounds;
import org.flamingochute.decision.admission.WithinTeamOrder;
import org.flamingochute.decision.dispatch.EndpointChooser;
import org.flamingochute.decision.dispatch.EndpointPreference;
import org.flamingochute.decision.dispatch.LeastLoadedOfTwoChooser;
import org.flamingochute.decision.dispatch.OutlierDetector;
import org.flamingochute.decision.dispatch.OutlierSettings;
import org.flamingochute.decision.dispatch.RandomEndpointChooser;

/** The policies that the experiments with requests compare. */
final class RequestPolicies {

  private static final QueueBounds BOUNDS = new QueueBounds(256, 256);

  private RequestPolicies() {}

  /** First come, first served. */
  static RequestPolicy firstCome() {
    return new RequestPolicy(
        "first-come",
        shares -> new FirstComeRequestQueue<>(BOUNDS),
        choosing(EndpointPreference.OWN_IN_FLIGHT, 1.5),
        true,
        false);
  }

  /** Fair queueing by what the entry itself served. */
  static RequestPolicy fairLocal() {
    return fair("fair-local", new WithinTeamOrder.NewestUnderOverload(250), false);
  }

  /** Fair queueing by what the whole fleet served, the policy of the product. */
  static RequestPolicy fairFleet() {
    return fair("fair-fleet", new WithinTeamOrder.NewestUnderOverload(250), true);
  }

  /** Fair queueing by the fleet's service, within a team always by deadline. */
  static RequestPolicy fairByDeadline() {
    return fair("fair-by-deadline", new WithinTeamOrder.EarliestDeadline(), true);
  }

  /** The fair queue with a part of the slots that follows the waiting requests. */
  static RequestPolicy fairSlots() {
    RequestPolicy fair = fairFleet();
    ChooserSource chooser =
        (random, entries, slotPart) ->
            new LeastLoadedOfTwoChooser(
                random, new OutlierDetector(OutlierSettings.defaults()), () -> entries, slotPart);
    return new RequestPolicy("fair-slots", fair.queue(), chooser, true, true);
  }

  private static RequestPolicy fair(String name, WithinTeamOrder order, boolean gossips) {
    FairQueueSettings settings = FairQueueSettings.builder().bounds(BOUNDS).order(order).build();
    return new RequestPolicy(
        name,
        shares -> new FairRequestQueue<>(settings, shares),
        choosing(EndpointPreference.OWN_IN_FLIGHT, 1.5),
        true,
        gossips);
  }

  /** Fair queueing with another way to choose endpoints. */
  static RequestPolicy withChooser(String name, ChooserSource chooser, boolean gossipsEndpoints) {
    RequestPolicy fair = fairFleet();
    return new RequestPolicy(name, fair.queue(), chooser, gossipsEndpoints, true);
  }

  static ChooserSource choosing(EndpointPreference preference, double guaranteedFactor) {
    return (random, entries, slotPart) ->
        new LeastLoadedOfTwoChooser(
            random,
            new OutlierDetector(OutlierSettings.defaults()),
            () -> entries,
            preference,
            guaranteedFactor);
  }

  static EndpointChooser random(
      UniformRandomProvider random, int entries, DoubleSupplier slotPart) {
    return new RandomEndpointChooser(random);
  }
}
