package org.flamingochute.decision.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The stored form of a key: its SHA-256 digest. The key itself is never stored.
 *
 * <p>Keys are random texts that the operators' tool makes, so a plain digest needs no salt.
 *
 * @param text {@code sha256:} and 64 lower-case hexadecimal digits
 */
public record KeyDigest(String text) {

  private static final String ALGORITHM = "SHA-256";
  private static final String PREFIX = "sha256:";

  /** Returns the digest of a key as presented. */
  public static KeyDigest of(String key) {
    return of(key.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the digest of the given bytes. */
  public static KeyDigest of(byte[] content) {
    return new KeyDigest(PREFIX + HexFormat.of().formatHex(newDigest().digest(content)));
  }

  /** Compares without letting the time that it takes tell where the two differ. */
  public boolean matches(KeyDigest other) {
    byte[] mine = text.getBytes(StandardCharsets.UTF_8);
    byte[] theirs = other.text.getBytes(StandardCharsets.UTF_8);
    return MessageDigest.isEqual(mine, theirs);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  @Override
  public String toString() {
    return text;
  }
}
