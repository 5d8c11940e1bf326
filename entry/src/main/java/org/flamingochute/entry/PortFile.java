package org.flamingochute.entry;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Writes the bound addresses to a file, for the script or test that started the process. */
final class PortFile {
  private PortFile() {}

  /**
   * Writes the file atomically, so that a reader never reads an incomplete file.
   *
   * @param fileName path of the file; empty to write none
   */
  static Either<ErrorReport, Void> write(String fileName, String httpAddress, String peerAddress) {
    if (fileName.isEmpty()) {
      return Either.right(null);
    }
    try {
      Path target = Path.of(fileName).toAbsolutePath();
      Path temporary = target.resolveSibling(target.getFileName() + ".new");
      Files.writeString(temporary, "http=" + httpAddress + "\npeer=" + peerAddress + "\n");
      Files.move(
          temporary, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      return Either.right(null);
    } catch (IOException | InvalidPathException e) {
      return Either.left(
          ErrorReport.of(ErrorCode.FILE_UNWRITABLE, "entry", "port_file", fileName, e.toString()));
    }
  }
}
