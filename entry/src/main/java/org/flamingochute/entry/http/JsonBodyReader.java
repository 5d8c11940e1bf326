package org.flamingochute.entry.http;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.flamingochute.decision.error.ErrorReport;

/** Parses JSON bodies into messages. An unknown field is an error, so that typos are reported. */
final class JsonBodyReader {
  private final RequestValidator validator;

  JsonBodyReader(RequestValidator validator) {
    this.validator = validator;
  }

  /** Reads the whole body and parses it as a message of the builder's type. */
  <T extends Message> Promise<Either<ErrorReport, T>> read(
      HttpRequest request, Message.Builder builder, Class<T> type) {
    return validator
        .readBody(request)
        .map(body -> body.flatMap(bytes -> parse(bytes, builder, type)));
  }

  private <T extends Message> Either<ErrorReport, T> parse(
      byte[] bytes, Message.Builder builder, Class<T> type) {
    try {
      String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
      JsonFormat.parser().merge(text, builder);
      return Either.right(type.cast(builder.build()));
    } catch (CharacterCodingException e) {
      return Either.left(validator.reportMalformedBody(type.getSimpleName(), "not UTF-8"));
    } catch (InvalidProtocolBufferException e) {
      return Either.left(validator.reportMalformedBody(type.getSimpleName(), e.getMessage()));
    }
  }
}
