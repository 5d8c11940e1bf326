package org.flamingochute.entry.peer;

import java.nio.ByteBuffer;
import javax.crypto.Mac;

/**
 * Authenticates the frames of one direction of a connection with HMAC-SHA256 over a counter and the
 * frame.
 *
 * <p>Because of the counter, replayed and missing frames are detected as well as modified ones. Not
 * thread-safe.
 */
final class FrameAuthenticator {
  private final Mac mac;
  private long counter;

  FrameAuthenticator(PeerSecret sessionKey) {
    this.mac = sessionKey.newMac();
  }

  /** Returns the message authentication code of the next frame. */
  byte[] nextMac(byte[] frame) {
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(counter).flip());
    counter++;
    return mac.doFinal(frame);
  }

  /** Returns whether a message authentication code is that of the next frame. */
  boolean verifyNext(byte[] frame, byte[] presented) {
    return HandshakeTranscript.equalsInConstantTime(nextMac(frame), presented);
  }
}
