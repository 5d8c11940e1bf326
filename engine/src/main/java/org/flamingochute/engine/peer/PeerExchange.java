package org.flamingochute.engine.peer;

import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.identity.Incarnation;

/** The exchange with all peers: heartbeats, tokens, records and images. */
public final class PeerExchange implements AgreementListener {

  private final PeerParts parts;
  private final GossipClock clock = new GossipClock();
  private final PeerCatchUp catchUp;
  private final Heartbeat heartbeat;

  /**
   * Creates an exchange that has not yet begun.
   *
   * @param afterBeat runs after each heartbeat
   */
  public PeerExchange(PeerParts parts, Runnable afterBeat) {
    this.parts = parts;
    this.catchUp =
        new PeerCatchUp(
            parts.follower(),
            parts.agreed(),
            parts.link(),
            parts.timers(),
            parts.peerAddress(),
            parts.metrics());
    this.heartbeat =
        new Heartbeat(
            parts.agreed(),
            parts.freshness(),
            parts.link(),
            clock,
            parts.source(),
            parts.timers(),
            parts.self(),
            parts.interval(),
            () -> beat(afterBeat),
            parts.metrics());
  }

  /** Begins to listen and to send. */
  public void start() {
    parts.transport().onFrame(new PeerRouter(parts, clock, catchUp));
    heartbeat.start();
  }

  /** Ends sending. */
  public void stop() {
    heartbeat.stop();
  }

  @Override
  public void memberRemoved(Incarnation incarnation) {
    clock.remove(incarnation);
    parts.usage().remove(incarnation);
    parts.endpoints().removePeer(incarnation);
    parts.freshness().removePeer(incarnation);
  }

  private void beat(Runnable afterBeat) {
    parts.broker().repeatTransfers();
    catchUp.requestFirstImage(parts.listing().get());
    afterBeat.run();
  }
}
