package org.flamingochute.engine.peer;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.platform.PeerTransport;
import org.flamingochute.schema.MemberImage;
import org.flamingochute.schema.PeerFrame;

/** Sends frames to members by their incarnation. */
public final class PeerLink {

  private final PeerTransport transport;
  private final AgreedView agreed;
  private final Incarnation self;
  private final MetricRegistry metrics;

  /** Creates a link for one incarnation. */
  public PeerLink(
      PeerTransport transport, AgreedView agreed, Incarnation self, MetricRegistry metrics) {
    this.transport = transport;
    this.agreed = agreed;
    this.self = self;
    this.metrics = metrics;
  }

  /** Sends a frame to a member; does nothing if the receiver is not a member. */
  public void send(Incarnation receiver, PeerFrame.Builder frame) {
    Optional<String> address = address(receiver);
    if (address.isPresent()) {
      sendTo(address.get(), receiver.value(), frame);
    }
  }

  /** Sends a frame to an address, for receivers that may not be members yet. */
  public void sendTo(String address, String receiver, PeerFrame.Builder frame) {
    PeerFrame sent = frame.setSender(self.value()).setReceiver(receiver).build();
    metrics.counter("peers.frames_sent").inc();
    metrics.counter("peers.bytes_sent").inc(sent.getSerializedSize());
    transport.send(address, sent);
  }

  private Optional<String> address(Incarnation receiver) {
    for (MemberImage member : agreed.members()) {
      if (member.getJoined().getIncarnation().equals(receiver.value())) {
        return Optional.of(member.getJoined().getPeerAddress());
      }
    }
    return Optional.empty();
  }
}
