package org.flamingochute.entry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import org.flamingochute.schema.PeerFrame;

/** Writes frames in the form that {@link PeerFrameDecoder} reads. */
final class PeerFrameEncoder extends MessageToByteEncoder<PeerFrame> {
  private FrameSeal seal;

  /** Ends the handshake: frames are sealed from now on. */
  void open(FrameSeal frameSeal) {
    seal = frameSeal;
  }

  @Override
  protected void encode(ChannelHandlerContext context, PeerFrame frame, ByteBuf out) {
    byte[] bytes = frame.toByteArray();
    if (seal == null) {
      out.writeInt(bytes.length);
    } else {
      out.writeInt(PeerSecret.CODE_BYTES + bytes.length);
      out.writeBytes(seal.next(bytes));
    }
    out.writeBytes(bytes);
  }
}
