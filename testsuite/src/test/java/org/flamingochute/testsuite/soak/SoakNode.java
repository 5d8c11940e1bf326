package org.flamingochute.testsuite.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node: the deployed program, its proxy to the store, and the logs of its starts. */
final class SoakNode {
  private static final Pattern LISTENING_EVENT =
      Pattern.compile("event=listening callers=\\[/([0-9.]+:[1-9]\\d*)\\]");

  /** Length of {@code time=2026-01-02T03:04:05.678Z}. */
  private static final int TIME_LENGTH = 29;

  private static final long START_POLL_MILLISECONDS = 20;
  private static final long START_TIMEOUT_MILLISECONDS = 60_000;

  private final String name;
  private final NodeProgram program;
  private final Path folder;
  private final FaultProxy store;
  private final Path settings;
  private int starts;
  private volatile SoakProcess process;
  private volatile String address = "";

  SoakNode(String name, NodeProgram program, Path folder, String storeAddress, boolean copies)
      throws IOException {
    this.name = name;
    this.program = program;
    this.folder = folder;
    this.store = new FaultProxy(storeAddress);
    this.settings = folder.resolve(name + ".ini");
    Files.writeString(
        settings,
        """
        [instance]
        name = %s
        data_centre = dc-%d
        data_centres = dc-0,dc-1,dc-2
        front_address = 127.0.0.1:0
        ready_address = 127.0.0.1:0
        metrics_address = 127.0.0.1:0
        processor_share = 1
        [store]
        address = %s
        [fleet_services]
        machines_address = %s
        [bounds]
        maximum_lease_milliseconds = 10000
        key_revocation_milliseconds = 5000
        shutdown_grace_seconds = 6
        status_retention_seconds = 300
        machine_fence_milliseconds = 3000
        [scheduling]
        learned_durations = true
        task_separation = true
        load_shedding = true
        compact_records = true
        speculative_copies = %b
        """
            .formatted(
                name,
                name.charAt(name.length() - 1) % WorkerHost.DATA_CENTRES,
                store.hostAndPort(),
                store.hostAndPort(),
                copies));
  }

  /** Starts the process; its address is known once {@link #awaitListening} has returned. */
  void start() throws IOException {
    List<String> command = new ArrayList<>(program.command());
    command.addAll(List.of("--settings", settings.toString()));
    address = "";
    starts++;
    process =
        SoakProcess.start(
            program.folder(), folder.resolve(name + "-start-" + starts + ".log"), command);
  }

  /** Waits until the log tells the address for callers, or until the process has ended. */
  void awaitListening() throws IOException, InterruptedException {
    for (long waited = 0; waited < START_TIMEOUT_MILLISECONDS; waited += START_POLL_MILLISECONDS) {
      Matcher listening =
          LISTENING_EVENT.matcher(Files.readString(process.log(), StandardCharsets.ISO_8859_1));
      if (listening.find()) {
        address = listening.group(1);
        return;
      }
      if (!process.isAlive()) {
        return;
      }
      Thread.sleep(START_POLL_MILLISECONDS);
    }
    throw new IllegalStateException(process.log() + " tells no address");
  }

  /** Returns when this start of the node last became the leader, in log order; empty if never. */
  String lastLeadership() throws IOException {
    String last = "";
    for (String line : Files.readAllLines(process.log(), StandardCharsets.ISO_8859_1)) {
      if (line.contains("event=leadership_taken")) {
        last = line.substring(0, Math.min(line.length(), TIME_LENGTH));
      }
    }
    return last;
  }

  String name() {
    return name;
  }

  /** Returns the address for callers, or an empty string while it is unknown. */
  String address() {
    return address;
  }

  FaultProxy store() {
    return store;
  }

  SoakProcess process() {
    return process;
  }

  /** Returns whether the process runs although it was never told to end. */
  boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process; its work has been judged. */
  void close() throws IOException, InterruptedException {
    process.kill();
    store.close();
  }
}
