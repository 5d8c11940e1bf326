package org.flamingochute.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.zip.CRC32;

/**
 * The body of a stand-in runner's answer, which shows whether it is whole and whose it is.
 *
 * <p>The body is the tag of the request, a line break, filler up to the wanted size, a line break
 * and the CRC-32 of all bytes before, as eight hexadecimal digits. Example for tag {@code r7}:
 * {@code r7\n......\n1c291ca3}.
 */
public final class TaggedAnswer {

  /** Smallest number of filler bytes. */
  public static final int MINIMUM_FILLER_BYTES = 1;

  /** Largest answer in bytes. */
  public static final int MAXIMUM_BYTES = 16 * 1024 * 1024;

  private static final int CHECKSUM_DIGITS = 8;
  private static final byte FILLER = '.';
  private static final byte LINE_BREAK = '\n';

  private TaggedAnswer() {}

  /** Returns the answer to the request with a tag, of about a size in bytes. */
  public static byte[] create(String tag, int wantedBytes) {
    byte[] name = tag.getBytes(StandardCharsets.UTF_8);
    int fixed = name.length + 1 + 1 + CHECKSUM_DIGITS;
    int filler = Math.max(MINIMUM_FILLER_BYTES, Math.min(wantedBytes, MAXIMUM_BYTES) - fixed);
    byte[] body = Arrays.copyOf(name, fixed + filler);
    body[name.length] = LINE_BREAK;
    Arrays.fill(body, name.length + 1, name.length + 1 + filler, FILLER);
    body[name.length + 1 + filler] = LINE_BREAK;
    int covered = body.length - CHECKSUM_DIGITS;
    System.arraycopy(checksum(body, covered), 0, body, covered, CHECKSUM_DIGITS);
    return body;
  }

  /** Tells whether a body is the whole answer to the request with a tag. */
  public static boolean isWholeAnswerOf(String tag, byte[] body) {
    byte[] name = tag.getBytes(StandardCharsets.UTF_8);
    int covered = body.length - CHECKSUM_DIGITS;
    if (covered < name.length + 2 || body[name.length] != LINE_BREAK) {
      return false;
    }
    if (!Arrays.equals(name, 0, name.length, body, 0, name.length)) {
      return false;
    }
    return Arrays.equals(checksum(body, covered), 0, CHECKSUM_DIGITS, body, covered, body.length);
  }

  private static byte[] checksum(byte[] body, int covered) {
    CRC32 checksum = new CRC32();
    checksum.update(body, 0, covered);
    String digits = HexFormat.of().toHexDigits((int) checksum.getValue());
    return digits.getBytes(StandardCharsets.US_ASCII);
  }
}
