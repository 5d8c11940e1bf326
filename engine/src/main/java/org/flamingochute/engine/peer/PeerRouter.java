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
 * Takes frames of peers and hands each to its part.
 *
 * <p>Only members are heard, but for requests for records and images, and the answers to those. A
 * frame for another incarnation, such as the one that had this address before, is dropped and
 * counted.
 */
final class PeerRouter implements PeerTransport.PeerFrameListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final FreshnessMonitor freshness;
  private final GossipClock clock;
  private final PeerUsage usage;
  private final EndpointTable endpoints;
  private final TokenBroker broker;
  private final PeerCatchUp catchUp;
  private final RemoteStartListener remoteStarts;
  private final Incarnation self;
  private final MetricRegistry metrics;

  PeerRouter(PeerParts parts, GossipClock clock, PeerCatchUp catchUp) {
    this.agreed = parts.agreed();
    this.freshness = parts.freshness();
    this.clock = clock;
    this.usage = parts.usage();
    this.endpoints = parts.endpoints();
    this.broker = parts.broker();
    this.catchUp = catchUp;
    this.remoteStarts = parts.remoteStarts();
    this.self = parts.self();
    this.metrics = parts.metrics();
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
          catchUp.takeRecordsRequest(frame.getSender(), frame.getRecordsRequest());
      case IMAGE_REQUEST -> catchUp.takeImageRequest(frame.getSender(), frame.getImageRequest());
      case IMAGE_RESPONSE -> catchUp.takeImage(frame.getImageResponse());
      case RECORDS_RESPONSE -> catchUp.takeRecords(sender, frame.getRecordsResponse());
      default -> routeFromMember(frame, sender);
    }
  }

  private void routeFromMember(PeerFrame frame, Incarnation sender) {
    if (!agreed.isMember(sender)) {
      drop(frame, "sender is not a member");
      return;
    }
    switch (frame.getBodyCase()) {
      case GOSSIP -> takeGossip(sender, frame.getGossip());
      case TOKEN_REQUEST -> broker.takeRequest(sender, frame.getTokenRequest());
      case TOKEN_TRANSFER -> broker.takeTransfer(sender, frame.getTokenTransfer());
      case TOKEN_TRANSFER_ACKNOWLEDGED ->
          broker.takeAcknowledgement(sender, frame.getTokenTransferAcknowledged());
      default -> drop(frame, "unexpected body " + frame.getBodyCase());
    }
  }

  private void takeGossip(Incarnation sender, Gossip gossip) {
    long proven = clock.proven(gossip.getEchoedSequence());
    freshness.recordGossip(sender, proven, gossip.getLogOffset());
    catchUp.peerOffset(sender, gossip.getLogOffset());
    if (!clock.take(sender, gossip.getSequence())) {
      return;
    }
    if (gossip.getStopping()) {
      usage.noteStopping(sender);
    }
    endpoints.updatePeerUsage(sender, gossip.getEndpointsList());
    for (TeamUsage team : gossip.getTeamsList()) {
      long started = usage.take(sender, team);
      if (started > 0) {
        remoteStarts.started(new TeamId(team.getTeam()), started);
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
