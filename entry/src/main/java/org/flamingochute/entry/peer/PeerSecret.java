package org.flamingochute.entry.peer;

import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** A secret key for HMAC-SHA256. */
final class PeerSecret {
  /** Length of a code in bytes. */
  static final int CODE_BYTES = 32;

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

  /** Returns the secret of entries that have none; it proves nothing. */
  static PeerSecret none() {
    return new PeerSecret(NO_SECRET);
  }

  /** Starts the computation of a code. */
  Mac newCode() {
    try {
      Mac code = Mac.getInstance(ALGORITHM);
      code.init(key);
      return code;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }
}
