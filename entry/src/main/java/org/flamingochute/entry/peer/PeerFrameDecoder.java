package org.flamingochute.entry.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;
import org.flamingochute.schema.PeerFrame;

/**
 * Splits the bytes of a connection into frames.
 *
 * <p>A frame is a length of four bytes and as many bytes: first the seal of 32 bytes, once the
 * handshake is over, then the protobuf message. Until the handshake is over only small frames are
 * taken, so that an unknown sender can not make the process hold much memory. After a malformed
 * frame nothing more is taken from the connection.
 */
final class PeerFrameDecoder extends ByteToMessageDecoder {
  /** Largest frame of the handshake in bytes. */
  static final int HANDSHAKE_FRAME_BYTES = 1024;

  private int maximumBytes = HANDSHAKE_FRAME_BYTES;
  private FrameSeal seal;
  private boolean broken;

  /** Ends the handshake: frames are sealed from now on and may be larger. */
  void open(FrameSeal frameSeal, int maximumFrameBytes) {
    seal = frameSeal;
    maximumBytes = maximumFrameBytes + PeerSecret.CODE_BYTES;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (broken) {
      in.skipBytes(in.readableBytes());
      return;
    }
    try {
      decodeFrame(in, out);
    } catch (MalformedFrameException e) {
      broken = true;
      throw e;
    }
  }

  private void decodeFrame(ByteBuf in, List<Object> out) {
    if (in.readableBytes() < Integer.BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length <= 0 || length > maximumBytes) {
      throw new MalformedFrameException(
          "a frame of " + length + " bytes is not within 1 and " + maximumBytes);
    }
    if (in.readableBytes() < Integer.BYTES + length) {
      return;
    }
    in.skipBytes(Integer.BYTES);
    out.add(parse(seal == null ? bytes(in, length) : unsealed(in, length)));
  }

  private byte[] unsealed(ByteBuf in, int length) {
    if (length <= PeerSecret.CODE_BYTES) {
      throw new MalformedFrameException("a sealed frame of " + length + " bytes is too short");
    }
    byte[] code = bytes(in, PeerSecret.CODE_BYTES);
    byte[] frame = bytes(in, length - PeerSecret.CODE_BYTES);
    if (!seal.isNext(frame, code)) {
      throw new MalformedFrameException("the seal of a frame is wrong");
    }
    return frame;
  }

  private static byte[] bytes(ByteBuf in, int length) {
    byte[] bytes = new byte[length];
    in.readBytes(bytes);
    return bytes;
  }

  private static PeerFrame parse(byte[] bytes) {
    try {
      return PeerFrame.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedFrameException("a frame is not a protobuf message: " + e.getMessage());
    }
  }
}
