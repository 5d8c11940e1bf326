package org.flamingochute.node.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.flamingochute.platform.wire.CodecTraining;
import org.flamingochute.platform.wire.WireException;

/**
 * A short run of a node that loads its classes, to create the class data sharing archive that
 * speeds up its start. It listens on ports chosen by the system and connects to a port where
 * nothing listens.
 */
public final class ArchiveTraining {
  private static final long RUN_MILLISECONDS = 1_500;
  private static final String SETTINGS =
      """
      [instance]
      name = training
      data_centre = training
      front_address = 127.0.0.1:0
      ready_address = 127.0.0.1:0
      metrics_address = 127.0.0.1:0
      [store]
      address = 127.0.0.1:1
      [fleet_services]
      machines_address = 127.0.0.1:1
      """;

  private ArchiveTraining() {}

  /** Runs a node for a short time and exits. */
  public static void main(String[] arguments)
      throws IOException, InterruptedException, WireException {
    Path file = Files.createTempFile("settings", ".ini");
    Files.writeString(file, SETTINGS);
    CodecTraining.run();
    Thread exitThread =
        new Thread(
            () -> {
              try {
                TimeUnit.MILLISECONDS.sleep(RUN_MILLISECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              System.exit(0);
            });
    exitThread.start();
    NodeMain.main(new String[] {"--settings", file.toString()});
  }
}
