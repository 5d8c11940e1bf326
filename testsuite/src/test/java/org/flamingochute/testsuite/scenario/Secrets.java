package org.flamingochute.testsuite.scenario;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Computes the digests of caller and operator secrets, which scenarios contain as {@code
 * secret:word} in plain text.
 */
public final class Secrets {

  private static final Pattern SECRET = Pattern.compile("secret:([a-z0-9-]+)");

  private Secrets() {}

  /** Returns the digest of a secret in the format of fleet descriptions. */
  public static String digest(String secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      byte[] bytes = digest.digest(secret.getBytes(StandardCharsets.UTF_8));
      return "sha256:" + HexFormat.of().formatHex(bytes);
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", exception);
    }
  }

  /** Replaces each secret in a text with its digest. */
  public static String replaceWithDigests(String text) {
    Matcher matcher = SECRET.matcher(text);
    return matcher.replaceAll(match -> digest(match.group(1)));
  }
}
