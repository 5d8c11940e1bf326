package org.flamingochute.load;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Reads and writes messages as JSON files. */
final class MessageFiles {

  private MessageFiles() {}

  /** Returns the text of a file. */
  static String readText(String file) throws LoadException {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new LoadException(ErrorReport.of(ErrorCode.SETTINGS_UNREADABLE, file, e.toString()));
    }
  }

  /** Reads a message into a builder. */
  static <B extends Message.Builder> B read(String file, B builder) throws LoadException {
    String text = readText(file);
    try {
      JsonFormat.parser().merge(text, builder);
      return builder;
    } catch (InvalidProtocolBufferException e) {
      throw new LoadException(ErrorReport.of(ErrorCode.REPORT_MALFORMED, file, e.getMessage()));
    }
  }

  /** Writes a message. */
  static void write(String file, MessageOrBuilder message) throws LoadException {
    try {
      Files.writeString(Path.of(file), JsonFormat.printer().print(message));
    } catch (IOException e) {
      throw new LoadException(ErrorReport.of(ErrorCode.FILE_NOT_WRITABLE, file, e.toString()));
    }
  }
}
