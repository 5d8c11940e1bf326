package org.flamingochute.engine.peer;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.log.FreshnessMonitor;
import org.flamingochute.engine.task.RepeatingTask;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.EndpointUsage;
import org.flamingochute.schema.Gossip;
import org.flamingochute.schema.MemberImage;
import org.flamingochute.schema.PeerFrame;
import org.flamingochute.schema.TeamUsage;

/**
 * Sends gossip to every other member at a fixed interval, within a number of bytes per second.
 *
 * <p>The budget is divided by the frames of a second. Example: 6000 bytes, 8 peers, 5 gossips a
 * second: 150 bytes a frame, of which the frame itself takes about 80; half of the rest goes to
 * endpoints and what is left to teams. A larger interval leaves more room for each frame.
 */
public final class Heartbeat {

  /** Bytes that all gossip of this entry may take in a second. */
  private static final int BYTES_PER_SECOND = 6_000;

  /** Smallest number of bytes for usage in one gossip, so that the rotation never stops. */
  private static final int MINIMUM_USAGE_BYTES = 32;

  private static final int MILLISECONDS_PER_SECOND = 1_000;

  private final AgreedView agreed;
  private final FreshnessMonitor freshness;
  private final PeerLink link;
  private final GossipClock clock;
  private final GossipSource source;
  private final Timers timers;
  private final Incarnation self;
  private final Duration interval;
  private final Runnable afterBeat;
  private final RepeatingTask beats;
  private final DeltaSelector<TeamUsage> teams = new DeltaSelector<>();
  private final DeltaSelector<EndpointUsage> endpoints = new DeltaSelector<>();

  /**
   * Creates a heartbeat that has not yet begun.
   *
   * @param afterBeat runs after each gossip
   */
  Heartbeat(
      AgreedView agreed,
      FreshnessMonitor freshness,
      PeerLink link,
      GossipClock clock,
      GossipSource source,
      Timers timers,
      Incarnation self,
      Duration interval,
      Runnable afterBeat,
      MetricRegistry metrics) {
    this.agreed = agreed;
    this.freshness = freshness;
    this.link = link;
    this.clock = clock;
    this.source = source;
    this.timers = timers;
    this.self = self;
    this.interval = interval;
    this.afterBeat = afterBeat;
    this.beats = RepeatingTask.of("heartbeat", timers, interval, this::beat, metrics);
  }

  /** Begins to send. */
  void start() {
    beats.start();
  }

  /** Ends sending. */
  void stop() {
    beats.stop();
  }

  private void beat() {
    List<Incarnation> others = others();
    if (!others.isEmpty() && agreed.isMember(self)) {
      send(others);
    }
    afterBeat.run();
  }

  private List<Incarnation> others() {
    List<Incarnation> others = new ArrayList<>();
    for (MemberImage member : agreed.members()) {
      Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
      if (!incarnation.equals(self)) {
        others.add(incarnation);
      }
    }
    return others;
  }

  private void send(List<Incarnation> others) {
    Gossip.Builder gossip =
        Gossip.newBuilder()
            .setSequence(clock.next(timers.monotonicMilliseconds()))
            .setLogOffset(agreed.offset())
            .setLogFresh(freshness.isLogFresh())
            .setStopping(source.isStopping());
    int budget = usageBudget(others, gossip);
    List<EndpointUsage> ofEndpoints = endpoints.select(source.endpoints(), budget / 2);
    gossip.addAllEndpoints(ofEndpoints);
    int taken = 0;
    for (EndpointUsage usage : ofEndpoints) {
      taken += usage.getSerializedSize();
    }
    gossip.addAllTeams(teams.select(source.teams(), budget - taken));
    for (Incarnation peer : others) {
      gossip.setEchoedSequence(clock.echoFor(peer));
      link.send(peer, PeerFrame.newBuilder().setGossip(gossip));
    }
  }

  private int usageBudget(List<Incarnation> others, Gossip.Builder gossip) {
    long frameBytes =
        BYTES_PER_SECOND * interval.toMillis() / MILLISECONDS_PER_SECOND / others.size();
    int envelope =
        gossip.build().getSerializedSize()
            + 2 * (self.value().length() + others.getFirst().value().length());
    return (int) Math.max(MINIMUM_USAGE_BYTES, frameBytes - envelope);
  }
}
