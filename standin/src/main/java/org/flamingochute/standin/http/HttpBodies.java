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

/** Parses and creates HTTP bodies with protobuf messages in JSON or binary format. */
final class HttpBodies {

  private static final int STATUS_BAD_REQUEST = 400;

  private HttpBodies() {}

  /** Creates the response to a message. */
  @FunctionalInterface
  interface MessageHandler<M extends Message> {

    /** Handles one message. */
    Promise<HttpResponse> handle(M message);
  }

  /** Returns a servlet that parses JSON bodies and responds 400 to malformed ones. */
  static <M extends Message> AsyncServlet jsonServlet(M prototype, MessageHandler<M> handler) {
    return request ->
        request
            .loadBody(HttpListeners.MAXIMUM_BODY_BYTES)
            .then(body -> handleJson(prototype, body.getArray(), request, handler));
  }

  /** Returns a servlet that parses binary bodies and responds 400 to malformed ones. */
  static <M extends Message> AsyncServlet binaryServlet(M prototype, MessageHandler<M> handler) {
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
      return malformedBodyResponse(request, e);
    }
    return handler.handle(cast(prototype, builder.build()));
  }

  private static <M extends Message> Promise<HttpResponse> handleBinary(
      M prototype, byte[] body, HttpRequest request, MessageHandler<M> handler) {
    Message message;
    try {
      message = prototype.getParserForType().parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      return malformedBodyResponse(request, e);
    }
    return handler.handle(cast(prototype, message));
  }

  @SuppressWarnings("unchecked")
  private static <M extends Message> M cast(M prototype, Message message) {
    return (M) prototype.getClass().cast(message);
  }

  private static Promise<HttpResponse> malformedBodyResponse(
      HttpRequest request, InvalidProtocolBufferException cause) {
    return errorResponse(
        STATUS_BAD_REQUEST,
        ErrorReport.of(ErrorCode.STAND_IN_BODY_MALFORMED, request.getPath(), cause.getMessage()));
  }

  /** Returns a response with status 200 and a message as JSON. */
  static Promise<HttpResponse> jsonResponse(MessageOrBuilder message) {
    return jsonResponse(200, message);
  }

  /** Returns a response with a message as JSON. */
  static Promise<HttpResponse> jsonResponse(int status, MessageOrBuilder message) {
    String text;
    try {
      text = JsonFormat.printer().omittingInsignificantWhitespace().print(message);
    } catch (InvalidProtocolBufferException e) {
      return Promise.ofException(e);
    }
    return HttpResponse.ofCode(status).withJson(text).toPromise();
  }

  /** Returns a response with a message in binary format. */
  static Promise<HttpResponse> binaryResponse(int status, Message message) {
    return HttpResponse.ofCode(status)
        .withHeader(
            HttpHeaders.CONTENT_TYPE,
            HttpHeaderValue.ofContentType(ContentType.of(MediaTypes.OCTET_STREAM)))
        .withBody(message.toByteArray())
        .toPromise();
  }

  /** Returns an error response. */
  static Promise<HttpResponse> errorResponse(int status, ErrorReport report) {
    return jsonResponse(
        status,
        ErrorBody.newBuilder()
            .setCode(report.code().number())
            .setMessage(report.message())
            .build());
  }
}
