package org.flamingochute.engine.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.flamingochute.engine.CallerRequest;

/** Digest of the fields that identify a repeated request: service, method, path and body. */
final class RequestDigest {

  private static final byte SEPARATOR = 0;

  private RequestDigest() {}

  /** Returns the SHA-256 digest in hexadecimal digits. */
  static String of(CallerRequest request) {
    MessageDigest digest = sha256();
    update(digest, request.service().value());
    update(digest, request.method());
    update(digest, request.path());
    digest.update(request.body());
    return HexFormat.of().formatHex(digest.digest());
  }

  private static void update(MessageDigest digest, String text) {
    digest.update(text.getBytes(StandardCharsets.UTF_8));
    digest.update(SEPARATOR);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java platform must provide SHA-256", missing);
    }
  }
}
