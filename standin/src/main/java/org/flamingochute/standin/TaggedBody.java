package org.flamingochute.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.zip.CRC32;

/**
 * Body of a stand-in runner's response, with which a caller can verify that the response is
 * complete and belongs to its request.
 *
 * <p>The body is the tag of the request, a line break, filler up to the requested size, a line
 * break and the CRC-32 of all preceding bytes in eight hexadecimal digits. Example for tag {@code
 * r7}: {@code r7\n......\n8f9f6837}.
 */
public final class TaggedBody {

  /** Minimum number of filler bytes. */
  public static final int MINIMUM_FILLER_BYTES = 1;

  /** Maximum size of a body in bytes. */
  public static final int MAXIMUM_BYTES = 16 * 1024 * 1024;

  private static final int CHECKSUM_DIGITS = 8;
  private static final byte FILLER = '.';
  private static final byte LINE_BREAK = '\n';

  private TaggedBody() {}

  /** Returns the body for a tag; it may exceed a requested size that is too small for the tag. */
  public static byte[] create(String tag, int requestedBytes) {
    byte[] tagBytes = tag.getBytes(StandardCharsets.UTF_8);
    int fixedBytes = tagBytes.length + 1 + 1 + CHECKSUM_DIGITS;
    int fillerBytes =
        Math.max(MINIMUM_FILLER_BYTES, Math.min(requestedBytes, MAXIMUM_BYTES) - fixedBytes);
    byte[] body = Arrays.copyOf(tagBytes, fixedBytes + fillerBytes);
    body[tagBytes.length] = LINE_BREAK;
    Arrays.fill(body, tagBytes.length + 1, tagBytes.length + 1 + fillerBytes, FILLER);
    body[tagBytes.length + 1 + fillerBytes] = LINE_BREAK;
    int checksummedBytes = body.length - CHECKSUM_DIGITS;
    System.arraycopy(checksum(body, checksummedBytes), 0, body, checksummedBytes, CHECKSUM_DIGITS);
    return body;
  }

  /** Returns whether a body is the complete body for a tag. */
  public static boolean isCompleteBodyFor(String tag, byte[] body) {
    byte[] tagBytes = tag.getBytes(StandardCharsets.UTF_8);
    int checksummedBytes = body.length - CHECKSUM_DIGITS;
    if (checksummedBytes < tagBytes.length + 2 || body[tagBytes.length] != LINE_BREAK) {
      return false;
    }
    if (!Arrays.equals(tagBytes, 0, tagBytes.length, body, 0, tagBytes.length)) {
      return false;
    }
    return Arrays.equals(
        checksum(body, checksummedBytes), 0, CHECKSUM_DIGITS, body, checksummedBytes, body.length);
  }

  private static byte[] checksum(byte[] body, int checksummedBytes) {
    CRC32 checksum = new CRC32();
    checksum.update(body, 0, checksummedBytes);
    String digits = HexFormat.of().toHexDigits((int) checksum.getValue());
    return digits.getBytes(StandardCharsets.US_ASCII);
  }
}
