package org.flamingochute.entry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import org.flamingochute.schema.PeerFrame;

/** Encodes frames in the format that {@link PeerFrameDecoder} decodes. */
final class PeerFrameEncoder extends MessageToByteEncoder<PeerFrame> {
  private FrameAuthenticator authenticator;

  /** Authenticates all frames from now on. */
  void completeHandshake(FrameAuthenticator frameAuthenticator) {
    authenticator = frameAuthenticator;
  }

  @Override
  protected void encode(ChannelHandlerContext context, PeerFrame frame, ByteBuf out) {
    byte[] bytes = frame.toByteArray();
    if (authenticator == null) {
      out.writeInt(bytes.length);
    } else {
      out.writeInt(PeerSecret.MAC_BYTES + bytes.length);
      out.writeBytes(authenticator.nextMac(bytes));
    }
    out.writeBytes(bytes);
  }
}
