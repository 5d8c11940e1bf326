package org.flamingochute.control;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;

/** Formats messages as JSON. */
final class JsonText {

  private JsonText() {}

  /** Returns the JSON form with all fields, ending with a line break. */
  static String of(MessageOrBuilder message) {
    try {
      return JsonFormat.printer().alwaysPrintFieldsWithNoPresence().print(message) + "\n";
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(
          "messages without Any fields can always be printed as JSON", e);
    }
  }
}
