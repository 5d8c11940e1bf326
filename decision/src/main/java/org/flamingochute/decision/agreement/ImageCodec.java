package org.flamingochute.decision.agreement;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.AgreedStateImage;

/** Encodes and decodes images deterministically: equal images have equal bytes. */
public final class ImageCodec {

  private ImageCodec() {}

  /** Returns the encoded image, with map entries in a fixed order. */
  public static byte[] encode(AgreedStateImage image) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(image.getSerializedSize());
    CodedOutputStream output = CodedOutputStream.newInstance(bytes);
    output.useDeterministicSerialization();
    try {
      image.writeTo(output);
      output.flush();
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes an image.
   *
   * @param offset the offset of the record, for the error message
   */
  public static Either<ErrorReport, AgreedStateImage> decode(long offset, byte[] bytes) {
    try {
      return Either.right(AgreedStateImage.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      return Either.left(
          ErrorReport.of(ErrorCode.SNAPSHOT_REFUSED, offset, "its content is not an image"));
    }
  }
}
