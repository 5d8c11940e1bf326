package org.flamingochute.entry;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Writes the addresses that the system chose into a file, for the one who started the process. */
final class PortFile {
  private PortFile() {}

  /**
   * Writes the file in one step, so that a reader sees all lines or no file.
   *
   * @param name name of the file; empty for none
   */
  static Either<ErrorReport, Void> write(String name, String httpAddress, String peerAddress) {
    if (name.isEmpty()) {
      return Either.right(null);
    }
    try {
      Path target = Path.of(name).toAbsolutePath();
      Path temporary = target.resolveSibling(target.getFileName() + ".new");
      Files.writeString(temporary, "http=" + httpAddress + "\npeer=" + peerAddress + "\n");
      Files.move(
          temporary, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      return Either.right(null);
    } catch (IOException | InvalidPathException e) {
      return Either.left(
          ErrorReport.of(ErrorCode.FILE_UNWRITABLE, "entry", "port_file", name, e.toString()));
    }
  }
}
