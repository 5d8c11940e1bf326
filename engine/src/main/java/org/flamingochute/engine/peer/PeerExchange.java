package org.flamingochute.engine.peer;

import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.identity.Incarnation;

/** Exchanges heartbeats, tokens, records and images with all peers. */
public final class PeerExchange implements AgreementListener {

  private final PeerDependencies dependencies;
  private final GossipSequenceTracker sequences = new GossipSequenceTracker();
  private final PeerCatchUp catchUp;
  private final HeartbeatSender heartbeatSender;

  /**
   * Creates an exchange that is not started.
   *
   * @param afterHeartbeat called after each heartbeat
   */
  public PeerExchange(PeerDependencies dependencies, Runnable afterHeartbeat) {
    this.dependencies = dependencies;
    this.catchUp =
        new PeerCatchUp(
            dependencies.follower(),
            dependencies.agreed(),
            dependencies.link(),
            dependencies.timers(),
            dependencies.peerAddress(),
            dependencies.metrics());
    this.heartbeatSender =
        new HeartbeatSender(
            dependencies.agreed(),
            dependencies.freshness(),
            dependencies.link(),
            sequences,
            dependencies.source(),
            dependencies.timers(),
            dependencies.self(),
            dependencies.heartbeatInterval(),
            () -> afterSend(afterHeartbeat),
            dependencies.metrics());
  }

  /** Starts receiving and sending. */
  public void start() {
    dependencies
        .transport()
        .setFrameListener(new PeerFrameRouter(dependencies, sequences, catchUp));
    heartbeatSender.start();
  }

  /** Stops sending. */
  public void stop() {
    heartbeatSender.stop();
  }

  @Override
  public void memberRemoved(Incarnation incarnation) {
    sequences.removePeer(incarnation);
    dependencies.usage().removePeer(incarnation);
    dependencies.endpoints().removePeer(incarnation);
    dependencies.freshness().removePeer(incarnation);
  }

  private void afterSend(Runnable afterHeartbeat) {
    dependencies.broker().resendTransfers();
    catchUp.requestFirstImage(dependencies.newestListing().get());
    afterHeartbeat.run();
  }
}
