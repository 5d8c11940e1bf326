package org.flamingochute.testsuite.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Starts the programs under test as Java processes, sends them signals, and terminates them. */
public final class ChildProcesses implements AutoCloseable {

  private static final long START_TIMEOUT_MILLISECONDS = 60_000;
  private static final long POLL_INTERVAL_MILLISECONDS = 50;

  private final Path folder;
  private final Map<String, Process> processes = new TreeMap<>();

  /**
   * Creates an empty set of processes.
   *
   * @param folder folder for the settings, port files and output of the processes
   */
  public ChildProcesses(Path folder) {
    this.folder = folder;
  }

  /** Starts a program and redirects its output to the file {@code name.log} in the folder. */
  public Process start(String name, String mainClass, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx256m", "-XX:TieredStopAtLevel=1", "-cp"));
    command.add(
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
    command.add(mainClass);
    command.addAll(arguments);
    File output = folder.resolve(name + ".log").toFile();
    Process process =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start();
    processes.put(name, process);
    return process;
  }

  /** Writes a file into the folder and returns its path. */
  public String writeFile(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text).toString();
  }

  /** Returns the path of a file in the folder. */
  public Path pathOf(String name) {
    return folder.resolve(name);
  }

  /** Waits until a port file contains an address with the given name, and returns the address. */
  public String awaitAddress(String portFile, String name)
      throws IOException, InterruptedException {
    Path file = folder.resolve(portFile);
    for (long waited = 0;
        waited < START_TIMEOUT_MILLISECONDS;
        waited += POLL_INTERVAL_MILLISECONDS) {
      if (Files.exists(file)) {
        for (String line : Files.readAllLines(file)) {
          if (line.startsWith(name + "=")) {
            return line.substring(name.length() + 1);
          }
        }
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    throw new IllegalStateException(portFile + " was not written in time");
  }

  /** Sends a signal to a started process. */
  public void sendSignal(String name, String signal) throws IOException, InterruptedException {
    long pid = processes.get(name).pid();
    new ProcessBuilder("kill", "-" + signal, String.valueOf(pid)).start().waitFor();
  }

  /** Waits for a process to end and returns its exit code. */
  public int awaitExit(String name, long seconds) throws InterruptedException {
    Process process = processes.get(name);
    if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
      throw new IllegalStateException(name + " has not ended after " + seconds + " s");
    }
    return process.exitValue();
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
  }
}
