package org.flamingochute.decision.agreement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.SnapshotPart;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SnapshotTest {

  private enum Fault {
    MISSING,
    REPEATED,
    WRONG_DIGEST,
    CHANGED_CONTENT,
    OTHER_COUNT,
    BAD_NUMBER,
    STALE
  }

  private final LogFixture log = LogFixture.withFleet();
  private AgreedStateImage image;
  private List<SnapshotPart> parts;

  @BeforeEach
  void writeSnapshot() {
    byte[] payload = new byte[SnapshotWriter.MAXIMUM_PART_BYTES];
    for (int i = 0; i < 3; i++) {
      log.append(
          LogFixture.submit(
              LogFixture.job("j" + i, true).setPayload(ByteString.copyFrom(payload))));
    }
    image = log.state.image();
    parts = new ArrayList<>();
    for (LogRecord record : SnapshotWriter.write(image, "s", new Incarnation("a"))) {
      assertThat(
          record.getSnapshotPart().getContent().size() <= SnapshotWriter.MAXIMUM_PART_BYTES,
          equalTo(true));
      parts.add(record.getSnapshotPart());
    }
    assertThat(parts.size(), greaterThan(3));
  }

  private static Optional<AgreedStateImage> assemble(
      SnapshotAssembler assembler, List<SnapshotPart> parts) {
    Optional<AgreedStateImage> found = Optional.empty();
    for (SnapshotPart part : parts) {
      Either<ErrorReport, Optional<AgreedStateImage>> result = assembler.add(0, part);
      found = found.or(() -> result.getOrElse(Optional.empty()));
    }
    return found;
  }

  @Test
  void partsInAnyOrderFormTheImage() {
    Collections.reverse(parts);
    assertThat(assemble(new SnapshotAssembler(), parts), equalTo(Optional.of(image)));
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void faultySnapshotIsNotReturned(Fault fault) {
    SnapshotAssembler assembler = new SnapshotAssembler();
    SnapshotPart first = parts.get(0);
    boolean isUsable = false;
    switch (fault) {
      case MISSING -> parts.remove(1);
      case REPEATED -> {
        parts.add(1, first);
        isUsable = true;
      }
      case WRONG_DIGEST ->
          parts.replaceAll(part -> part.toBuilder().setDigest("sha256:00").build());
      case CHANGED_CONTENT ->
          parts.set(0, first.toBuilder().setContent(ByteString.copyFromUtf8("x")).build());
      case OTHER_COUNT -> parts.set(1, parts.get(1).toBuilder().setParts(2).build());
      case BAD_NUMBER -> parts.set(0, first.toBuilder().setPart(parts.size()).build());
      case STALE -> assertThat(assemble(assembler, parts).isPresent(), equalTo(true));
      default -> throw new IllegalStateException(fault.name());
    }
    assertThat(assemble(assembler, parts).isPresent(), equalTo(isUsable));
  }

  @Test
  void stateIsNotReplacedByEarlierImage() {
    log.append(LogFixture.join("c"));
    AgreedStateImage later = log.state.image();
    assertThat(log.state.replaceWith(image), equalTo(false));
    assertThat(log.state.replaceWith(later), equalTo(false));
    assertThat(log.state.image(), equalTo(later));
    AgreedState other = AgreedState.empty();
    assertThat(other.replaceWith(later), equalTo(true));
    assertThat(other.image(), equalTo(later));
  }

  @Test
  void imageOfNewerFormatIsRefused() {
    AgreedStateImage later = image.toBuilder().setFormatVersion(2).build();
    assertThat(AgreedState.empty().replaceWith(later), equalTo(false));
  }
}
