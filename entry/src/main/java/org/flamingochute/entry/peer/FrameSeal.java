package org.flamingochute.entry.peer;

import java.nio.ByteBuffer;
import javax.crypto.Mac;

/**
 * Seals the frames of one direction of one connection with HMAC-SHA256 over a counter and the
 * frame.
 *
 * <p>The counter makes a frame that is repeated or left out on the way as visible as a changed one.
 * Used by one thread.
 */
final class FrameSeal {
  private final Mac code;
  private long counter;

  FrameSeal(PeerSecret sessionKey) {
    this.code = sessionKey.newCode();
  }

  /** Returns the code of the next frame. */
  byte[] next(byte[] frame) {
    code.update(ByteBuffer.allocate(Long.BYTES).putLong(counter).flip());
    counter++;
    return code.doFinal(frame);
  }

  /** Tells whether a code is that of the next frame. */
  boolean isNext(byte[] frame, byte[] presented) {
    return HandshakeTranscript.isSame(next(frame), presented);
  }
}
