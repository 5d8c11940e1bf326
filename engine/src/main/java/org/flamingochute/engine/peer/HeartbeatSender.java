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
 * Sends gossip to every other member, with an interval between two gossips and a byte budget per
 * second.
 *
 * <p>The budget is divided by the number of frames per second. Example: with 6000 bytes, 8 peers
 * and 5 gossips per second, a frame has 150 bytes, of which the frame without usage needs about 80;
 * half of the rest is used for endpoints and the remainder for teams. A longer interval increases
 * the size of each frame. Every gossip may contain a minimum of usage, so with many peers the
 * budget is exceeded.
 */
public final class HeartbeatSender {

  /** Budget for the bytes of all gossip sent by this entry in a second. */
  private static final int BYTES_PER_SECOND = 6_000;

  /** Minimum budget for usage in one gossip, so that every value is eventually sent. */
  private static final int MINIMUM_USAGE_BYTES = 32;

  private static final int MILLISECONDS_PER_SECOND = 1_000;

  private final AgreedView agreed;
  private final FreshnessMonitor freshness;
  private final PeerLink link;
  private final GossipSequenceTracker sequences;
  private final GossipSource source;
  private final Timers timers;
  private final Incarnation self;
  private final Duration interval;
  private final Runnable afterSend;
  private final RepeatingTask repeatingTask;
  private final DeltaSelector<TeamUsage> teams = new DeltaSelector<>();
  private final DeltaSelector<EndpointUsage> endpoints = new DeltaSelector<>();

  /**
   * Creates a sender that is not started.
   *
   * @param afterSend called after each gossip
   */
  HeartbeatSender(
      AgreedView agreed,
      FreshnessMonitor freshness,
      PeerLink link,
      GossipSequenceTracker sequences,
      GossipSource source,
      Timers timers,
      Incarnation self,
      Duration interval,
      Runnable afterSend,
      MetricRegistry metrics) {
    this.agreed = agreed;
    this.freshness = freshness;
    this.link = link;
    this.sequences = sequences;
    this.source = source;
    this.timers = timers;
    this.self = self;
    this.interval = interval;
    this.afterSend = afterSend;
    this.repeatingTask = RepeatingTask.of("heartbeat", timers, interval, this::run, metrics);
  }

  /** Starts sending. */
  void start() {
    repeatingTask.start();
  }

  /** Stops sending. */
  void stop() {
    repeatingTask.stop();
  }

  private void run() {
    List<Incarnation> peers = peers();
    if (!peers.isEmpty() && agreed.isMember(self)) {
      send(peers);
    }
    afterSend.run();
  }

  private List<Incarnation> peers() {
    List<Incarnation> peers = new ArrayList<>();
    for (MemberImage member : agreed.members()) {
      Incarnation incarnation = new Incarnation(member.getJoined().getIncarnation());
      if (!incarnation.equals(self)) {
        peers.add(incarnation);
      }
    }
    return peers;
  }

  private void send(List<Incarnation> peers) {
    Gossip.Builder gossip =
        Gossip.newBuilder()
            .setSequence(sequences.nextSequence(timers.monotonicMilliseconds()))
            .setLogOffset(agreed.offset())
            .setLogFresh(freshness.isLogFresh())
            .setStopping(source.isStopping());
    int budgetBytes = usageBudgetBytes(peers, gossip);
    List<EndpointUsage> selectedEndpoints = endpoints.select(source.endpoints(), budgetBytes / 2);
    gossip.addAllEndpoints(selectedEndpoints);
    int usedBytes = 0;
    for (EndpointUsage usage : selectedEndpoints) {
      usedBytes += usage.getSerializedSize();
    }
    gossip.addAllTeams(teams.select(source.teams(), budgetBytes - usedBytes));
    for (Incarnation peer : peers) {
      gossip.setEchoedSequence(sequences.newestSequence(peer));
      link.send(peer, PeerFrame.newBuilder().setGossip(gossip));
    }
  }

  private int usageBudgetBytes(List<Incarnation> peers, Gossip.Builder gossip) {
    long frameBytes =
        BYTES_PER_SECOND * interval.toMillis() / MILLISECONDS_PER_SECOND / peers.size();
    int overheadBytes =
        gossip.build().getSerializedSize()
            + 2 * (self.value().length() + peers.getFirst().value().length());
    return (int) Math.max(MINIMUM_USAGE_BYTES, frameBytes - overheadBytes);
  }
}
