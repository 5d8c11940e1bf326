package org.flamingochute.entry.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.schema.PeerFrame;
import org.flamingochute.schema.PeerHello;
import org.flamingochute.schema.PeerHelloProof;

/** Common part of both sides of a connection: handshake checks, timeout and failures. */
abstract class PeerHandler extends SimpleChannelInboundHandler<PeerFrame> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long HANDSHAKE_TIMEOUT_MILLISECONDS = 3000;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final String localName;
  private final PeerSecret secret;
  private final PeerMetrics metrics;
  private final byte[] nonce = new byte[HandshakeTranscript.NONCE_BYTES];
  private boolean established;

  PeerHandler(String localName, PeerSecret secret, PeerMetrics metrics) {
    this.localName = localName;
    this.secret = secret;
    this.metrics = metrics;
    RANDOM.nextBytes(nonce);
  }

  String localName() {
    return localName;
  }

  PeerSecret secret() {
    return secret;
  }

  PeerMetrics metrics() {
    return metrics;
  }

  byte[] nonce() {
    return nonce;
  }

  boolean isEstablished() {
    return established;
  }

  /** Marks the handshake as complete; both sides are authenticated. */
  void markEstablished() {
    established = true;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) throws Exception {
    context
        .executor()
        .schedule(
            () -> {
              if (!established && context.channel().isActive()) {
                failHandshake(context, "the handshake timed out");
              }
            },
            HANDSHAKE_TIMEOUT_MILLISECONDS,
            TimeUnit.MILLISECONDS);
    super.channelActive(context);
  }

  PeerFrame helloFrame() {
    return PeerFrame.newBuilder()
        .setSender(localName)
        .setHello(
            PeerHello.newBuilder()
                .setNonce(ByteString.copyFrom(nonce))
                .setProtocolVersion(HandshakeTranscript.PROTOCOL_VERSION))
        .build();
  }

  PeerFrame proofFrame(byte[] proof) {
    return PeerFrame.newBuilder()
        .setSender(localName)
        .setHelloProof(
            PeerHelloProof.newBuilder().setMessageAuthenticationCode(ByteString.copyFrom(proof)))
        .build();
  }

  /** Returns whether the frame is a valid hello; fails the handshake otherwise. */
  boolean checkHello(ChannelHandlerContext context, PeerFrame frame) {
    if (!frame.hasHello() || frame.getSender().isEmpty()) {
      failHandshake(context, "the first frame is not a hello");
      return false;
    }
    int version = frame.getHello().getProtocolVersion();
    if (version != HandshakeTranscript.PROTOCOL_VERSION) {
      failHandshake(context, "the peer has protocol version " + version);
      return false;
    }
    if (frame.getHello().getNonce().size() != HandshakeTranscript.NONCE_BYTES) {
      failHandshake(context, "the nonce has the wrong length");
      return false;
    }
    return true;
  }

  /** Returns whether the frame contains the expected proof; fails the handshake otherwise. */
  boolean checkProof(ChannelHandlerContext context, PeerFrame frame, byte[] expected) {
    byte[] presented = frame.getHelloProof().getMessageAuthenticationCode().toByteArray();
    if (!frame.hasHelloProof() || !HandshakeTranscript.equalsInConstantTime(expected, presented)) {
      failHandshake(context, "the peer did not prove knowledge of the secret");
      return false;
    }
    return true;
  }

  void failHandshake(ChannelHandlerContext context, String problem) {
    metrics.handshakeFailures().inc();
    logger.atWarning().log(
        "event=peer_handshake_failed peer=%s message=%s",
        context.channel().remoteAddress(), LogText.quoted(problem));
    context.close();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof IdleStateEvent) {
      context.close();
    }
    super.userEventTriggered(context, event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
    if (error instanceof MalformedFrameException) {
      metrics.malformed().inc();
      logger.atWarning().log(
          "event=peer_frame_malformed peer=%s message=%s",
          context.channel().remoteAddress(), LogText.quoted(error.getMessage()));
    } else if (!established) {
      failHandshake(context, error.toString());
    } else {
      logger.atInfo().log(
          "event=peer_connection_failed peer=%s message=%s",
          context.channel().remoteAddress(), LogText.quoted(error.toString()));
    }
    context.close();
  }
}
