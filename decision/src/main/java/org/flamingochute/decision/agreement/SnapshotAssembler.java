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
 * Puts snapshots together from their parts, which may come from several writers, in any order, more
 * than once or not at all.
 *
 * <p>An image is given out only when all parts of one snapshot agree, the digest matches and it
 * covers a later offset than the one given out before. Not safe for use by several threads.
 */
public final class SnapshotAssembler {

  /** Parts that a snapshot may have at most. */
  public static final int MAXIMUM_PARTS = 4096;

  /** Unfinished snapshots that are kept; the oldest is dropped for another. */
  public static final int MAXIMUM_UNFINISHED = 4;

  private final Map<String, Unfinished> unfinished = new LinkedHashMap<>();
  private long newestOffset = -1;

  /**
   * Takes one part.
   *
   * @param offset the offset of the part's record, for errors
   * @param part the part
   * @return the image when this part completed it, nothing while parts are missing, or why the part
   *     is refused
   */
  public Either<ErrorReport, Optional<AgreedStateImage>> add(long offset, SnapshotPart part) {
    if (part.getCoveredOffset() <= newestOffset) {
      return refused(offset, "it covers no later offset than " + newestOffset);
    }
    boolean isNumbered =
        part.getParts() >= 1
            && part.getParts() <= MAXIMUM_PARTS
            && part.getPart() >= 0
            && part.getPart() < part.getParts();
    if (!isNumbered) {
      return refused(offset, "part " + part.getPart() + " of " + part.getParts());
    }
    Unfinished snapshot =
        unfinished.computeIfAbsent(part.getSnapshotId(), absent -> new Unfinished(part));
    dropOldest();
    if (!snapshot.belongs(part)) {
      return refused(offset, "it differs from other parts of " + part.getSnapshotId());
    }
    if (!snapshot.add(part)) {
      return refused(offset, "part " + part.getPart() + " is repeated");
    }
    if (!snapshot.isComplete()) {
      return Either.right(Optional.empty());
    }
    unfinished.remove(part.getSnapshotId());
    return finish(offset, part, snapshot.content());
  }

  private void dropOldest() {
    if (unfinished.size() <= MAXIMUM_UNFINISHED) {
      return;
    }
    Iterator<String> oldest = unfinished.keySet().iterator();
    oldest.next();
    oldest.remove();
  }

  private Either<ErrorReport, Optional<AgreedStateImage>> finish(
      long offset, SnapshotPart part, byte[] content) {
    if (!KeyDigest.of(content).text().equals(part.getDigest())) {
      return refused(offset, "the digest of " + part.getSnapshotId() + " does not match");
    }
    return ImageCodec.decode(offset, content)
        .flatMap(image -> check(offset, part, image))
        .peek(image -> newestOffset = part.getCoveredOffset())
        .map(Optional::of);
  }

  private static Either<ErrorReport, AgreedStateImage> check(
      long offset, SnapshotPart part, AgreedStateImage image) {
    if (image.getFormatVersion() > AgreedState.FORMAT_VERSION) {
      return Either.left(report(offset, "its format " + image.getFormatVersion() + " is later"));
    }
    if (image.getOffset() != part.getCoveredOffset()) {
      return Either.left(report(offset, "its image is of offset " + image.getOffset()));
    }
    return Either.right(image);
  }

  private static <T> Either<ErrorReport, T> refused(long offset, String reason) {
    return Either.left(report(offset, reason));
  }

  private static ErrorReport report(long offset, String reason) {
    return ErrorReport.of(ErrorCode.SNAPSHOT_REFUSED, offset, reason);
  }

  private static final class Unfinished {

    private final SnapshotPart first;
    private final Map<Integer, ByteString> contents = new TreeMap<>();

    private Unfinished(SnapshotPart first) {
      this.first = first;
    }

    private boolean belongs(SnapshotPart part) {
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
