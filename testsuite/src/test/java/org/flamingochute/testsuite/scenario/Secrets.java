package org.flamingochute.testsuite.scenario;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Secrets of callers and operators, which scenarios write in clear as {@code secret:word}. */
public final class Secrets {

  private static final Pattern SECRET = Pattern.compile("secret:([a-z0-9-]+)");

  private Secrets() {}

  /** Returns the digest of a secret in the form that fleet descriptions use. */
  public static String digest(String secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      byte[] bytes = digest.digest(secret.getBytes(StandardCharsets.UTF_8));
      return "sha256:" + HexFormat.of().formatHex(bytes);
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", exception);
    }
  }

  /** Replaces each secret of a text by its digest. */
  public static String replaceByDigests(String text) {
    Matcher matcher = SECRET.matcher(text);
    return matcher.replaceAll(match -> digest(match.group(1)));
  }
}
