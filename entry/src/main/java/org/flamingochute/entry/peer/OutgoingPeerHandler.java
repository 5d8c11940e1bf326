package org.flamingochute.entry.peer;

import io.netty.channel.ChannelHandlerContext;
import org.flamingochute.schema.PeerFrame;

/** Opening side of a connection: performs the handshake, then lets the connection write frames. */
final class OutgoingPeerHandler extends PeerHandler {
  private final PeerFrameDecoder decoder;
  private final PeerFrameEncoder encoder;
  private final PeerConnection connection;
  private HandshakeTranscript transcript;

  OutgoingPeerHandler(
      PeerTransportSettings settings,
      PeerFrameDecoder decoder,
      PeerFrameEncoder encoder,
      PeerConnection connection) {
    super(settings.localName(), settings.secret(), settings.metrics());
    this.decoder = decoder;
    this.encoder = encoder;
    this.connection = connection;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) throws Exception {
    context.writeAndFlush(helloFrame());
    super.channelActive(context);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    if (isEstablished()) {
      receiveKeepAlive(frame);
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
    byte[] serverNonce = frame.getHello().getNonce().toByteArray();
    transcript = new HandshakeTranscript(localName(), frame.getSender(), nonce(), serverNonce);
    context.writeAndFlush(proofFrame(transcript.clientProof(secret())));
  }

  private void receiveProof(ChannelHandlerContext context, PeerFrame frame) {
    if (!checkProof(context, frame, transcript.serverProof(secret()))) {
      return;
    }
    markEstablished();
    decoder.completeHandshake(
        transcript.serverFrameAuthenticator(secret()),
        PeerFrameDecoder.MAXIMUM_HANDSHAKE_FRAME_BYTES);
    encoder.completeHandshake(transcript.clientFrameAuthenticator(secret()));
    connection.onEstablished(context.channel());
  }

  private static void receiveKeepAlive(PeerFrame frame) {
    if (frame.getBodyCase() != PeerFrame.BodyCase.BODY_NOT_SET) {
      throw new MalformedFrameException(
          "received a frame other than a keep-alive frame on an outgoing connection");
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
    connection.flush();
    super.channelWritabilityChanged(context);
  }
}
