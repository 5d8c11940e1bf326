package org.flamingochute.engine.peer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.engine.log.FreshnessMonitor;
import org.flamingochute.engine.request.EndpointTable;
import org.flamingochute.platform.PeerTransport;
import org.flamingochute.schema.Gossip;
import org.flamingochute.schema.PeerFrame;
import org.flamingochute.schema.TeamUsage;

/**
 * Receives frames of peers and routes each to its handler.
 *
 * <p>Frames of senders that are not members are dropped, except requests for records and images and
 * the responses to them. A frame for another incarnation, such as one that had this address
 * earlier, is dropped. Dropped frames are counted.
 */
final class PeerFrameRouter implements PeerTransport.PeerFrameListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final FreshnessMonitor freshness;
  private final GossipSequenceTracker sequences;
  private final PeerUsage usage;
  private final EndpointTable endpoints;
  private final TokenBroker broker;
  private final PeerCatchUp catchUp;
  private final RemoteStartListener remoteStarts;
  private final Incarnation self;
  private final MetricRegistry metrics;

  PeerFrameRouter(
      PeerDependencies dependencies, GossipSequenceTracker sequences, PeerCatchUp catchUp) {
    this.agreed = dependencies.agreed();
    this.freshness = dependencies.freshness();
    this.sequences = sequences;
    this.usage = dependencies.usage();
    this.endpoints = dependencies.endpoints();
    this.broker = dependencies.broker();
    this.catchUp = catchUp;
    this.remoteStarts = dependencies.remoteStarts();
    this.self = dependencies.self();
    this.metrics = dependencies.metrics();
  }

  @Override
  public void frameReceived(PeerFrame frame) {
    metrics.counter("peers.frames_received").inc();
    if (!frame.getReceiver().equals(self.value()) || !Identifiers.isValid(frame.getSender())) {
      drop(frame, "wrong receiver or sender");
      return;
    }
    try {
      route(frame, new Incarnation(frame.getSender()));
    } catch (IllegalArgumentException malformed) {
      drop(frame, malformed.getMessage());
    }
  }

  private void route(PeerFrame frame, Incarnation sender) {
    switch (frame.getBodyCase()) {
      case RECORDS_REQUEST ->
          catchUp.answerRecordsRequest(frame.getSender(), frame.getRecordsRequest());
      case IMAGE_REQUEST -> catchUp.answerImageRequest(frame.getSender(), frame.getImageRequest());
      case IMAGE_RESPONSE -> catchUp.handleImage(frame.getImageResponse());
      case RECORDS_RESPONSE -> catchUp.handleRecords(sender, frame.getRecordsResponse());
      default -> routeFromMember(frame, sender);
    }
  }

  private void routeFromMember(PeerFrame frame, Incarnation sender) {
    if (!agreed.isMember(sender)) {
      drop(frame, "sender is not a member");
      return;
    }
    switch (frame.getBodyCase()) {
      case GOSSIP -> handleGossip(sender, frame.getGossip());
      case TOKEN_REQUEST -> broker.handleRequest(sender, frame.getTokenRequest());
      case TOKEN_TRANSFER -> broker.handleTransfer(sender, frame.getTokenTransfer());
      case TOKEN_TRANSFER_ACKNOWLEDGED ->
          broker.handleAcknowledgement(sender, frame.getTokenTransferAcknowledged());
      default -> drop(frame, "unexpected body " + frame.getBodyCase());
    }
  }

  private void handleGossip(Incarnation sender, Gossip gossip) {
    long provenMilliseconds = sequences.provenMilliseconds(gossip.getEchoedSequence());
    freshness.recordGossip(sender, provenMilliseconds, gossip.getLogOffset());
    catchUp.requestRecordsIfBehind(sender, gossip.getLogOffset());
    if (!sequences.recordReceived(sender, gossip.getSequence())) {
      return;
    }
    if (gossip.getStopping()) {
      usage.markStopping(sender);
    }
    endpoints.updatePeerUsage(sender, gossip.getEndpointsList());
    for (TeamUsage team : gossip.getTeamsList()) {
      long startedRequests = usage.update(sender, team);
      if (startedRequests > 0) {
        remoteStarts.requestsStarted(new TeamId(team.getTeam()), startedRequests);
      }
    }
  }

  private void drop(PeerFrame frame, String reason) {
    metrics.counter("peers.frames_dropped").inc();
    logger.atFine().log(
        "event=peer_frame_dropped sender=%s body=%s reason=%s",
        frame.getSender(), frame.getBodyCase(), LogText.quoted(reason));
  }
}
