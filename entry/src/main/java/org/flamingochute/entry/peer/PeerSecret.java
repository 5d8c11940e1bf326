package org.flamingochute.entry.peer;

import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** A secret key for HMAC-SHA256. */
final class PeerSecret {
  /** Length of a message authentication code in bytes. */
  static final int MAC_BYTES = 32;

  private static final String ALGORITHM = "HmacSHA256";
  private static final byte[] NO_SECRET = {0};

  private final SecretKeySpec key;

  private PeerSecret(byte[] content) {
    this.key = new SecretKeySpec(content, ALGORITHM);
  }

  /** Creates a secret from its content, which must not be empty. */
  static PeerSecret of(byte[] content) {
    return new PeerSecret(content);
  }

  /** Returns the well-known key of entries without a secret, which authenticates nothing. */
  static PeerSecret none() {
    return new PeerSecret(NO_SECRET);
  }

  /** Returns a new message authentication code computation with this key. */
  Mac newMac() {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform supports " + ALGORITHM, e);
    }
  }
}
