package org.flamingochute.entry.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;
import org.flamingochute.schema.PeerFrame;

/**
 * Decodes the bytes of a connection into frames.
 *
 * <p>A frame is a length of four bytes followed by that many bytes: after the handshake, a message
 * authentication code of 32 bytes, and then the protobuf message. Until the handshake is complete,
 * only small frames are accepted, so that an unauthenticated sender cannot make the process
 * allocate much memory. After a malformed frame, all further input of the connection is discarded.
 */
final class PeerFrameDecoder extends ByteToMessageDecoder {
  /** Maximum size of a handshake frame in bytes. */
  static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 1024;

  private int maximumBytes = MAXIMUM_HANDSHAKE_FRAME_BYTES;
  private FrameAuthenticator authenticator;
  private boolean hasFailed;

  /** Expects authenticated frames up to the given size from now on. */
  void completeHandshake(FrameAuthenticator frameAuthenticator, int maximumFrameBytes) {
    authenticator = frameAuthenticator;
    maximumBytes = maximumFrameBytes + PeerSecret.MAC_BYTES;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (hasFailed) {
      in.skipBytes(in.readableBytes());
      return;
    }
    try {
      decodeFrame(in, out);
    } catch (MalformedFrameException e) {
      hasFailed = true;
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
          "a frame of " + length + " bytes is not between 1 and " + maximumBytes);
    }
    if (in.readableBytes() < Integer.BYTES + length) {
      return;
    }
    in.skipBytes(Integer.BYTES);
    out.add(parse(authenticator == null ? readBytes(in, length) : readAuthenticated(in, length)));
  }

  private byte[] readAuthenticated(ByteBuf in, int length) {
    if (length <= PeerSecret.MAC_BYTES) {
      throw new MalformedFrameException(
          "an authenticated frame of " + length + " bytes is too short");
    }
    byte[] mac = readBytes(in, PeerSecret.MAC_BYTES);
    byte[] frame = readBytes(in, length - PeerSecret.MAC_BYTES);
    if (!authenticator.verifyNext(frame, mac)) {
      throw new MalformedFrameException("the message authentication code of a frame is wrong");
    }
    return frame;
  }

  private static byte[] readBytes(ByteBuf in, int length) {
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
