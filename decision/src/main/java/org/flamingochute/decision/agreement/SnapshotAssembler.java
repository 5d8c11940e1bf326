package org.flamingochute.decision.agreement;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.fleet.KeyDigest;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.SnapshotPart;

/**
 * Assembles snapshots from their parts, which may come from several writers and may be reordered,
 * repeated or missing.
 *
 * <p>An image is returned only if all parts of the snapshot are consistent, the digest matches, and
 * the image covers a later offset than the last one returned. Not thread-safe.
 */
public final class SnapshotAssembler {

  /** Maximum number of parts in a snapshot. */
  public static final int MAXIMUM_PARTS = 4096;

  /** Maximum number of incomplete snapshots; the oldest is dropped for a new one. */
  public static final int MAXIMUM_PARTIAL_SNAPSHOTS = 4;

  private final Map<String, PartialSnapshot> partialSnapshots = new LinkedHashMap<>();
  private long lastReturnedOffset = -1;

  /**
   * Adds one part.
   *
   * @param offset the offset of the part's record, for the error message
   * @param part the part
   * @return the image if this part completed it, empty while parts are missing, or the reason why
   *     the part is refused
   */
  public Either<ErrorReport, Optional<AgreedStateImage>> add(long offset, SnapshotPart part) {
    if (part.getCoveredOffset() <= lastReturnedOffset) {
      return refused(offset, "it does not cover an offset later than " + lastReturnedOffset);
    }
    boolean isValidPartNumber =
        part.getParts() >= 1
            && part.getParts() <= MAXIMUM_PARTS
            && part.getPart() >= 0
            && part.getPart() < part.getParts();
    if (!isValidPartNumber) {
      return refused(offset, "part " + part.getPart() + " of " + part.getParts());
    }
    PartialSnapshot snapshot =
        partialSnapshots.computeIfAbsent(part.getSnapshotId(), absent -> new PartialSnapshot(part));
    dropOldest();
    if (!snapshot.isSameSnapshot(part)) {
      return refused(offset, "it differs from other parts of " + part.getSnapshotId());
    }
    if (!snapshot.add(part)) {
      return refused(offset, "part " + part.getPart() + " is repeated");
    }
    if (!snapshot.isComplete()) {
      return Either.right(Optional.empty());
    }
    partialSnapshots.remove(part.getSnapshotId());
    return decodeImage(offset, part, snapshot.content());
  }

  private void dropOldest() {
    if (partialSnapshots.size() <= MAXIMUM_PARTIAL_SNAPSHOTS) {
      return;
    }
    Iterator<String> oldest = partialSnapshots.keySet().iterator();
    oldest.next();
    oldest.remove();
  }

  private Either<ErrorReport, Optional<AgreedStateImage>> decodeImage(
      long offset, SnapshotPart part, byte[] content) {
    if (!KeyDigest.of(content).text().equals(part.getDigest())) {
      return refused(offset, "the digest of " + part.getSnapshotId() + " does not match");
    }
    return ImageCodec.decode(offset, content)
        .flatMap(image -> checkImage(offset, part, image))
        .peek(image -> lastReturnedOffset = part.getCoveredOffset())
        .map(Optional::of);
  }

  private static Either<ErrorReport, AgreedStateImage> checkImage(
      long offset, SnapshotPart part, AgreedStateImage image) {
    if (image.getFormatVersion() > AgreedState.FORMAT_VERSION) {
      return Either.left(
          report(offset, "its format version " + image.getFormatVersion() + " is newer"));
    }
    if (image.getOffset() != part.getCoveredOffset()) {
      return Either.left(report(offset, "its image covers offset " + image.getOffset()));
    }
    return Either.right(image);
  }

  private static <T> Either<ErrorReport, T> refused(long offset, String reason) {
    return Either.left(report(offset, reason));
  }

  private static ErrorReport report(long offset, String reason) {
    return ErrorReport.of(ErrorCode.SNAPSHOT_REFUSED, offset, reason);
  }

  private static final class PartialSnapshot {

    private final SnapshotPart first;
    private final Map<Integer, ByteString> contents = new TreeMap<>();

    private PartialSnapshot(SnapshotPart first) {
      this.first = first;
    }

    private boolean isSameSnapshot(SnapshotPart part) {
      return part.getParts() == first.getParts()
          && part.getCoveredOffset() == first.getCoveredOffset()
          && part.getDigest().equals(first.getDigest());
    }

    private boolean add(SnapshotPart part) {
      return contents.putIfAbsent(part.getPart(), part.getContent()) == null;
    }

    private boolean isComplete() {
      return contents.size() == first.getParts();
    }

    private byte[] content() {
      return ByteString.copyFrom(contents.values()).toByteArray();
    }
  }
}
