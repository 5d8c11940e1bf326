package org.flamingochute.standin.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Writes the address that a process listens on to a file, whole or not at all. */
public final class PortFile {

  private PortFile() {}

  /**
   * Writes the line {@code http=ADDRESS}.
   *
   * @param file path of the file; empty for none
   */
  public static void write(String file, String address) throws StandInException {
    if (file.isEmpty()) {
      return;
    }
    Path target = Path.of(file);
    Path partial = Path.of(file + ".partial");
    try {
      Files.writeString(partial, "http=" + address + "\n");
      Files.move(partial, target, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new StandInException(ErrorReport.of(ErrorCode.FILE_NOT_WRITABLE, file, e.getMessage()));
    }
  }
}
