package org.flamingochute.standin.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Atomically writes the address that a process listens on to a file. */
public final class PortFile {

  private PortFile() {}

  /**
   * Writes the line {@code http=ADDRESS}.
   *
   * @param file path of the file; empty to write none
   */
  public static void write(String file, String address) throws StandInException {
    if (file.isEmpty()) {
      return;
    }
    Path target = Path.of(file);
    Path temporary = Path.of(file + ".partial");
    try {
      Files.writeString(temporary, "http=" + address + "\n");
      Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new StandInException(ErrorReport.of(ErrorCode.FILE_NOT_WRITABLE, file, e.getMessage()));
    }
  }
}
