package org.flamingochute.entry.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.TimeUnit;
import org.flamingochute.platform.PeerTransport.PeerFrameListener;
import org.flamingochute.schema.PeerFrame;

/**
 * Accepting side of a connection: authenticates the peer, then passes its frames to the listener.
 *
 * <p>It sends keep-alive frames, which have no body. Without them the other side could not
 * distinguish a network that loses its frames from an idle one, and after a long network failure
 * TCP alone may take minutes to retransmit.
 */
final class IncomingPeerHandler extends PeerHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int KEEP_ALIVES_PER_TIMEOUT = 5;

  private final PeerFrameDecoder decoder;
  private final PeerFrameEncoder encoder;
  private final long keepAliveMilliseconds;
  private final int maximumFrameBytes;
  private final PeerFrameListener listener;
  private HandshakeTranscript transcript;

  IncomingPeerHandler(
      PeerTransportSettings settings,
      PeerFrameDecoder decoder,
      PeerFrameEncoder encoder,
      PeerFrameListener listener) {
    super(settings.localName(), settings.secret(), settings.metrics());
    this.decoder = decoder;
    this.encoder = encoder;
    this.keepAliveMilliseconds = settings.keepAliveTimeout().toMillis() / KEEP_ALIVES_PER_TIMEOUT;
    this.maximumFrameBytes = settings.maximumFrameBytes();
    this.listener = listener;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    if (isEstablished()) {
      receive(frame);
    } else if (transcript == null) {
      receiveHello(context, frame);
    } else {
      receiveProof(context, frame);
    }
  }

  private void receiveHello(ChannelHandlerContext context, PeerFrame frame) {
    if (!checkHello(context, frame)) {
      return;
    }
    byte[] clientNonce = frame.getHello().getNonce().toByteArray();
    transcript = new HandshakeTranscript(frame.getSender(), localName(), clientNonce, nonce());
    context.writeAndFlush(helloFrame());
  }

  private void receiveProof(ChannelHandlerContext context, PeerFrame frame) {
    if (!checkProof(context, frame, transcript.clientProof(secret()))) {
      return;
    }
    markEstablished();
    decoder.completeHandshake(transcript.clientFrameAuthenticator(secret()), maximumFrameBytes);
    context.writeAndFlush(proofFrame(transcript.serverProof(secret())));
    encoder.completeHandshake(transcript.serverFrameAuthenticator(secret()));
    sendKeepAlives(context);
  }

  private void sendKeepAlives(ChannelHandlerContext context) {
    if (!context.channel().isActive()) {
      return;
    }
    if (context.channel().isWritable()) {
      context.writeAndFlush(PeerFrame.newBuilder().setSender(localName()).build());
    }
    context
        .executor()
        .schedule(() -> sendKeepAlives(context), keepAliveMilliseconds, TimeUnit.MILLISECONDS);
  }

  private void receive(PeerFrame frame) {
    boolean isForThisEntry =
        frame.getReceiver().isEmpty() || frame.getReceiver().equals(localName());
    if (!isForThisEntry || !frame.getSender().equals(transcript.clientName())) {
      metrics().misdirected().inc();
      return;
    }
    metrics().received().inc();
    try {
      listener.frameReceived(frame);
    } catch (RuntimeException e) {
      metrics().listenerFailures().inc();
      logger.atSevere().withCause(e).log("event=peer_frame_failed kind=%s", frame.getBodyCase());
    }
  }
}
