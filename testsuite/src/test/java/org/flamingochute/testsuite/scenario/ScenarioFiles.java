package org.flamingochute.testsuite.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Reads the scenario descriptors and fleet descriptions of the test suite. */
public final class ScenarioFiles {

  private static final String SUFFIX = ".scenario";

  private ScenarioFiles() {}

  /** Reads all scenarios of a folder, sorted by name. */
  public static List<ScenarioDescriptor> readAll(String folder) {
    try (Stream<Path> files = Files.list(folderPath(folder))) {
      return files
          .filter(file -> file.toString().endsWith(SUFFIX))
          .sorted()
          .map(ScenarioFiles::read)
          .toList();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  /** Reads one scenario, given its folder and its name without suffix. */
  public static ScenarioDescriptor readOne(String folder, String name) {
    return read(folderPath(folder).resolve(name + SUFFIX));
  }

  /** Reads the text of a fleet description. */
  static String readFleetDescription(String name) {
    return readText(folderPath("fleets").resolve(name + ".ini"));
  }

  private static ScenarioDescriptor read(Path file) {
    String name = file.getFileName().toString().replace(SUFFIX, "");
    return ScenarioDescriptor.parse(name, readText(file));
  }

  private static String readText(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  private static Path folderPath(String folder) {
    URL url = ScenarioFiles.class.getClassLoader().getResource(folder);
    if (url == null) {
      throw new IllegalArgumentException("folder \"" + folder + "\" is not on the class path");
    }
    try {
      return Path.of(url.toURI());
    } catch (URISyntaxException exception) {
      throw new IllegalArgumentException("not a folder: " + url, exception);
    }
  }
}
