package org.flamingochute.standin.http;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.activej.http.AsyncServlet;
import io.activej.http.ContentType;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MediaTypes;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.ErrorBody;

/** Reads and writes bodies of messages: JSON by the protobuf mapping, or binary. */
final class HttpBodies {

  private static final int STATUS_MALFORMED = 400;

  private HttpBodies() {}

  /** Turns a message into the response. */
  @FunctionalInterface
  interface MessageHandler<M extends Message> {

    /** Handles one message. */
    Promise<HttpResponse> handle(M message);
  }

  /** Returns a servlet that parses a JSON body and answers 400 when it can not. */
  static <M extends Message> AsyncServlet json(M prototype, MessageHandler<M> handler) {
    return request ->
        request
            .loadBody(HttpListeners.MAXIMUM_BODY_BYTES)
            .then(body -> handleJson(prototype, body.getArray(), request, handler));
  }

  /** Returns a servlet that parses a binary body and answers 400 when it can not. */
  static <M extends Message> AsyncServlet binary(M prototype, MessageHandler<M> handler) {
    return request ->
        request
            .loadBody(HttpListeners.MAXIMUM_BODY_BYTES)
            .then(body -> handleBinary(prototype, body.getArray(), request, handler));
  }

  private static <M extends Message> Promise<HttpResponse> handleJson(
      M prototype, byte[] body, HttpRequest request, MessageHandler<M> handler) {
    Message.Builder builder = prototype.newBuilderForType();
    try {
      JsonFormat.parser().merge(new String(body, StandardCharsets.UTF_8), builder);
    } catch (InvalidProtocolBufferException e) {
      return malformed(request, e);
    }
    return handler.handle(cast(prototype, builder.build()));
  }

  private static <M extends Message> Promise<HttpResponse> handleBinary(
      M prototype, byte[] body, HttpRequest request, MessageHandler<M> handler) {
    Message message;
    try {
      message = prototype.getParserForType().parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      return malformed(request, e);
    }
    return handler.handle(cast(prototype, message));
  }

  @SuppressWarnings("unchecked")
  private static <M extends Message> M cast(M prototype, Message message) {
    return (M) prototype.getClass().cast(message);
  }

  private static Promise<HttpResponse> malformed(
      HttpRequest request, InvalidProtocolBufferException cause) {
    return error(
        STATUS_MALFORMED,
        ErrorReport.of(ErrorCode.STAND_IN_BODY_MALFORMED, request.getPath(), cause.getMessage()));
  }

  /** Returns a response with the JSON form of a message. */
  static Promise<HttpResponse> respond(MessageOrBuilder message) {
    return respond(200, message);
  }

  /** Returns a response with a status and the JSON form of a message. */
  static Promise<HttpResponse> respond(int status, MessageOrBuilder message) {
    String text;
    try {
      text = JsonFormat.printer().omittingInsignificantWhitespace().print(message);
    } catch (InvalidProtocolBufferException e) {
      return Promise.ofException(e);
    }
    return HttpResponse.ofCode(status).withJson(text).toPromise();
  }

  /** Returns a response with the binary form of a message. */
  static Promise<HttpResponse> respondBinary(int status, Message message) {
    return HttpResponse.ofCode(status)
        .withHeader(
            HttpHeaders.CONTENT_TYPE,
            HttpHeaderValue.ofContentType(ContentType.of(MediaTypes.OCTET_STREAM)))
        .withBody(message.toByteArray())
        .toPromise();
  }

  /** Returns an error response. */
  static Promise<HttpResponse> error(int status, ErrorReport report) {
    return respond(
        status,
        ErrorBody.newBuilder()
            .setCode(report.code().number())
            .setMessage(report.message())
            .build());
  }
}
