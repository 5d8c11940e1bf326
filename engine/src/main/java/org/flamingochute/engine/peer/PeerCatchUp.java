package org.flamingochute.engine.peer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.engine.log.LogFollower;
import org.flamingochute.engine.log.RecentRecords;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.ImageRequest;
import org.flamingochute.schema.ImageResponse;
import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.InstanceListing;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.PeerFrame;
import org.flamingochute.schema.RecordsRequest;
import org.flamingochute.schema.RecordsResponse;

/**
 * Requests records and images from peers while the log cannot be read, and provides them to peers.
 *
 * <p>A member that receives gossip with a later offset requests the records after its own offset
 * from that peer, or an image if the peer no longer retains these records. A process without any
 * state requests an image from all live entries of the instance list. An image is installed only if
 * its offset is later than the offset of the own state.
 */
final class PeerCatchUp {

  private static final long REQUEST_INTERVAL_MILLISECONDS = 100;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final LogFollower follower;
  private final AgreedState agreed;
  private final PeerLink link;
  private final Timers timers;
  private final String replyAddress;
  private final MetricRegistry metrics;
  private long lastRequestMilliseconds = Long.MIN_VALUE / 2;

  /**
   * Creates the catch-up of one entry.
   *
   * @param replyAddress address at which peers reach this entry
   */
  PeerCatchUp(
      LogFollower follower,
      AgreedState agreed,
      PeerLink link,
      Timers timers,
      String replyAddress,
      MetricRegistry metrics) {
    this.follower = follower;
    this.agreed = agreed;
    this.link = link;
    this.timers = timers;
    this.replyAddress = replyAddress;
    this.metrics = metrics;
  }

  /** Requests records from a peer if it has applied a later offset and the log cannot be read. */
  void requestRecordsIfBehind(Incarnation peer, long offset) {
    if (offset <= agreed.offset() || follower.isLogReadable() || !tryBeginRequest()) {
      return;
    }
    requestRecords(peer);
  }

  /** Requests an image from the listed entries if there is no state and the log cannot be read. */
  void requestFirstImage(InstanceListing listing) {
    if (agreed.offset() >= 0 || follower.isLogReadable() || !tryBeginRequest()) {
      return;
    }
    for (ListedInstance instance : listing.getInstancesList()) {
      boolean isEntry = instance.getKind() == InstanceKind.INSTANCE_ENTRY;
      boolean isLive = instance.getState() == InstanceState.INSTANCE_LIVE;
      if (isEntry && isLive && !instance.getAddress().equals(replyAddress)) {
        link.sendTo(instance.getAddress(), instance.getIncarnation(), imageRequest());
      }
    }
  }

  /** Answers a request for records. */
  void answerRecordsRequest(String sender, RecordsRequest request) {
    RecentRecords recent = follower.recentRecords();
    RecordsResponse.Builder response = RecordsResponse.newBuilder();
    if (recent.contains(request.getFromOffset())) {
      response.addAllRecords(recent.from(request.getFromOffset()));
    } else if (request.getFromOffset() <= agreed.offset()) {
      response.setImageNeeded(true);
    }
    link.sendTo(
        request.getReplyAddress(), sender, PeerFrame.newBuilder().setRecordsResponse(response));
  }

  /** Applies records sent by a peer, or requests an image if the peer no longer retains them. */
  void handleRecords(Incarnation peer, RecordsResponse response) {
    if (response.getImageNeeded()) {
      link.send(peer, imageRequest());
      return;
    }
    follower.applyFromPeer(response.getRecordsList());
  }

  /** Answers a request for an image. */
  void answerImageRequest(String sender, ImageRequest request) {
    AgreedStateImage image = agreed.image();
    if (image.getOffset() < 0) {
      return;
    }
    ImageResponse response =
        ImageResponse.newBuilder()
            .setOffset(image.getOffset())
            .setImage(image.toByteString())
            .build();
    link.sendTo(
        request.getReplyAddress(), sender, PeerFrame.newBuilder().setImageResponse(response));
  }

  /** Installs an image sent by a peer. */
  void handleImage(ImageResponse response) {
    try {
      follower.installImage(AgreedStateImage.parseFrom(response.getImage()), "peer");
    } catch (InvalidProtocolBufferException malformed) {
      metrics.counter("peers.malformed_images").inc();
      logger.atWarning().log(
          "event=peer_image_malformed detail=%s", LogText.quoted(malformed.getMessage()));
    }
  }

  private void requestRecords(Incarnation peer) {
    RecordsRequest request =
        RecordsRequest.newBuilder()
            .setFromOffset(agreed.offset() + 1)
            .setReplyAddress(replyAddress)
            .build();
    metrics.counter("peers.records_requests").inc();
    link.send(peer, PeerFrame.newBuilder().setRecordsRequest(request));
  }

  private PeerFrame.Builder imageRequest() {
    return PeerFrame.newBuilder()
        .setImageRequest(ImageRequest.newBuilder().setReplyAddress(replyAddress));
  }

  private synchronized boolean tryBeginRequest() {
    long now = timers.monotonicMilliseconds();
    if (now - lastRequestMilliseconds < REQUEST_INTERVAL_MILLISECONDS) {
      return false;
    }
    lastRequestMilliseconds = now;
    return true;
  }
}
