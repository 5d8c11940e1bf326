package org.flamingochute.entry.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.TimeUnit;
import org.flamingochute.platform.PeerTransport.PeerFrameListener;
import org.flamingochute.schema.PeerFrame;

/**
 * The accepting end of a connection: checks the peer, then hands its frames to the listener.
 *
 * <p>It sends heartbeats, frames without a body. Without them the other end could not tell a
 * network that lost its frames from one that is merely quiet, and after a long cut TCP alone may
 * take minutes to try again.
 */
final class IncomingPeerHandler extends PeerHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int HEARTBEATS_WITHIN_LIMIT = 5;

  private final PeerFrameDecoder decoder;
  private final PeerFrameEncoder encoder;
  private final long heartbeatMilliseconds;
  private final int maximumFrameBytes;
  private final PeerFrameListener listener;
  private HandshakeTranscript transcript;

  IncomingPeerHandler(
      PeerTransportSettings settings,
      PeerFrameDecoder decoder,
      PeerFrameEncoder encoder,
      PeerFrameListener listener) {
    super(settings.ownName(), settings.secret(), settings.metrics());
    this.decoder = decoder;
    this.encoder = encoder;
    this.heartbeatMilliseconds = settings.silenceLimit().toMillis() / HEARTBEATS_WITHIN_LIMIT;
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
    transcript = new HandshakeTranscript(frame.getSender(), ownName(), clientNonce, nonce());
    context.writeAndFlush(helloFrame());
  }

  private void receiveProof(ChannelHandlerContext context, PeerFrame frame) {
    if (!checkProof(context, frame, transcript.clientProof(secret()))) {
      return;
    }
    establish();
    decoder.open(transcript.clientSeal(secret()), maximumFrameBytes);
    context.writeAndFlush(proofFrame(transcript.serverProof(secret())));
    encoder.open(transcript.serverSeal(secret()));
    beat(context);
  }

  private void beat(ChannelHandlerContext context) {
    if (!context.channel().isActive()) {
      return;
    }
    if (context.channel().isWritable()) {
      context.writeAndFlush(PeerFrame.newBuilder().setSender(ownName()).build());
    }
    context.executor().schedule(() -> beat(context), heartbeatMilliseconds, TimeUnit.MILLISECONDS);
  }

  private void receive(PeerFrame frame) {
    boolean forMe = frame.getReceiver().isEmpty() || frame.getReceiver().equals(ownName());
    if (!forMe || !frame.getSender().equals(transcript.clientName())) {
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
