package org.flamingochute.decision.agreement;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.fleet.KeyDigest;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.SnapshotPart;

/**
 * Splits an image into records that are small enough to append.
 *
 * <p>Each part repeats the digest of the whole image, so that a reader can refuse a part of another
 * image with the same id and can verify the assembled image.
 */
public final class SnapshotWriter {

  /** Maximum size of the content of one part, in bytes. */
  public static final int MAXIMUM_PART_BYTES = 262_144;

  private SnapshotWriter() {}

  /**
   * Returns the records of a snapshot in the order in which they must be appended.
   *
   * @param image the state to write
   * @param snapshotId unique id of this snapshot, used as the prefix of the records' ids
   * @param writer the member that writes it
   */
  public static List<LogRecord> write(
      AgreedStateImage image, String snapshotId, Incarnation writer) {
    byte[] content = ImageCodec.encode(image);
    int parts = Math.max(1, Math.ceilDiv(content.length, MAXIMUM_PART_BYTES));
    SnapshotPart common =
        SnapshotPart.newBuilder()
            .setSnapshotId(snapshotId)
            .setCoveredOffset(image.getOffset())
            .setDigest(KeyDigest.of(content).text())
            .setParts(parts)
            .build();
    List<LogRecord> records = new ArrayList<>();
    for (int part = 0; part < parts; part++) {
      int start = part * MAXIMUM_PART_BYTES;
      int length = Math.min(MAXIMUM_PART_BYTES, content.length - start);
      ByteString slice = ByteString.copyFrom(content, start, length);
      records.add(
          LogRecord.newBuilder()
              .setRecordId(snapshotId + "-" + part)
              .setFormatVersion(AgreedState.FORMAT_VERSION)
              .setWriter(writer.value())
              .setSnapshotPart(common.toBuilder().setPart(part).setContent(slice))
              .build());
    }
    return records;
  }
}
