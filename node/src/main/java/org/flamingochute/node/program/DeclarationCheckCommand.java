package org.flamingochute.node.program;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.platform.wire.DeclarationDraftCodec;
import org.flamingochute.platform.wire.DecodedDraft;
import org.flamingochute.platform.wire.FindingLine;
import org.flamingochute.scheduling.declaration.DeclarationCheck;
import org.flamingochute.scheduling.declaration.DeclarationDifference;
import org.flamingochute.scheduling.declaration.Finding;
import org.flamingochute.scheduling.declaration.Severity;

/** Checks a declaration in a file and prints one line for each finding, the most severe first. */
final class DeclarationCheckCommand {
  static final int EXIT_NO_FINDING = 0;
  static final int EXIT_NO_ERROR = 1;
  static final int EXIT_ERRORS = 2;
  static final int EXIT_UNREADABLE_FILE = 3;

  private final PrintStream output;
  private final PrintStream errors;

  DeclarationCheckCommand(PrintStream output, PrintStream errors) {
    this.output = output;
    this.errors = errors;
  }

  /** Runs the command and returns its exit code. */
  int run(NodeCommandLine.CheckDeclaration arguments) {
    DecodedDraft decoded;
    Optional<DecodedDraft> inForce = Optional.empty();
    try {
      decoded = read(arguments.file());
      if (arguments.inForceFile().isPresent()) {
        inForce = Optional.of(read(arguments.inForceFile().get()));
      }
    } catch (UnreadableFileException e) {
      errors.println("error: " + e.getMessage());
      return EXIT_UNREADABLE_FILE;
    }
    if (inForce.isPresent() && !inForce.get().findings().isEmpty()) {
      String file = arguments.inForceFile().orElseThrow();
      inForce.get().findings().forEach(finding -> print(file + ": ", finding));
      return EXIT_ERRORS;
    }
    List<Finding> findings = findings(decoded, inForce);
    findings.forEach(finding -> print("", finding));
    return exitCode(findings);
  }

  private static DecodedDraft read(String file) throws UnreadableFileException {
    try {
      return DeclarationDraftCodec.read(Files.readAllBytes(Path.of(file)));
    } catch (IOException | InvalidPathException e) {
      throw new UnreadableFileException(file, e);
    }
  }

  private static List<Finding> findings(DecodedDraft decoded, Optional<DecodedDraft> inForce) {
    List<Finding> findings = new ArrayList<>(decoded.findings());
    if (decoded.draft().isPresent()) {
      findings.addAll(DeclarationCheck.findings(decoded.draft().get()));
      inForce
          .flatMap(DecodedDraft::draft)
          .map(old -> DeclarationDifference.findings(old, decoded.draft().get()))
          .ifPresent(findings::addAll);
    }
    findings.sort(Comparator.comparing(Finding::severity));
    return findings;
  }

  private void print(String prefix, Finding finding) {
    output.println(prefix + FindingLine.of(finding));
  }

  private static int exitCode(List<Finding> findings) {
    if (findings.isEmpty()) {
      return EXIT_NO_FINDING;
    }
    return findings.getFirst().severity() == Severity.ERROR ? EXIT_ERRORS : EXIT_NO_ERROR;
  }

  /** A file that cannot be read. */
  private static final class UnreadableFileException extends Exception {
    private static final long serialVersionUID = 1;

    UnreadableFileException(String file, Exception cause) {
      super(ErrorReport.of(ErrorCode.SETTINGS_UNREADABLE, file, cause).toString(), cause);
    }
  }
}
