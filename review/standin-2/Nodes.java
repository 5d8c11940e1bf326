package cases;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts nodes with the command and the template of settings of the deploy file. */
final class Nodes {
  private static final int FIRST_PORT = 20_000;
  private static final int PORT_COUNT = 10_000;
  private static final SecureRandom PORTS = new SecureRandom();
  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern LIST =
      Pattern.compile("\\{\\{#zones\\}\\}\\{\\{@\\}\\}\\{\\{,\\}\\}\\{\\{/zones\\}\\}");
  private static final Pattern VALUE = Pattern.compile("\\{\\{([a-z_.0-9]+)\\}\\}");

  /** A node's process and its addresses. */
  static final class Node {
    final String name;
    final String front;
    final String ready;
    private final Path settings;
    private final Path log;
    private Process process;

    private Node(String name, String front, String ready, Path settings, Path log) {
      this.name = name;
      this.front = front;
      this.ready = ready;
      this.settings = settings;
      this.log = log;
    }

    long pid() {
      return process.pid();
    }

    boolean isAlive() {
      return process.isAlive();
    }

    int exitCode() {
      return process.exitValue();
    }

    Path log() {
      return log;
    }
  }

  private final Path root;
  private final Path folder;
  private final String platform;
  private final Events record;
  private final Set<Integer> given = new HashSet<>();
  final List<Node> all = new ArrayList<>();

  Nodes(Path root, Path folder, String platform, Events record) {
    this.root = root;
    this.folder = folder;
    this.platform = platform;
    this.record = record;
    // A case that is interrupted must leave no processes behind.
    Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
  }

  /**
   * Returns a loopback address that nothing listens on. Its port is below those that systems give
   * to outgoing connections, and picked at random, so that scripts that start together differ.
   */
  private String freeAddress() throws IOException {
    while (true) {
      int port = FIRST_PORT + PORTS.nextInt(PORT_COUNT);
      if (!given.add(port)) {
        continue;
      }
      try (ServerSocket socket =
          new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return "127.0.0.1:" + socket.getLocalPort();
      } catch (BindException e) {
        record.add("port %d is in use", port);
      }
    }
  }

  /** Adds a node of a zone, which is not started. The bounds are those of the site rq-chute. */
  Node add(String name, String zone, List<String> zones) throws IOException {
    String front = freeAddress();
    String ready = freeAddress();
    Map<String, String> values = new LinkedHashMap<>();
    values.put("node_name", name);
    values.put("zone", zone);
    values.put("listen_addrs.front", front);
    values.put("listen_addrs.ready_addr", ready);
    String metrics = freeAddress();
    values.put("ip", "127.0.0.1");
    values.put("port_range.0", metrics.substring(metrics.indexOf(':') + 1));
    values.put("limits.cpu_share", "0.75");
    values.put("limits.cores", "1");
    values.put("limits.link_mbps", "1000.0");
    values.put("platform.address", platform);
    values.put("platform.record_bytes", "262144");
    values.put("cloud_api.address", platform);
    values.put("bounds.max_hold_ms", "10000");
    values.put("bounds.revoke_ms", "5000");
    values.put("bounds.grace_s", "6");
    values.put("bounds.status_s", "120");
    values.put("bounds.lease_ms", "3000");
    values.put("bounds.interference_ms", "4000");
    values.put("bounds.notice_ms", "4500");
    values.put("bounds.maintenance_s", "2");
    values.put("bounds.migrate_s", "1.5");
    String template = Files.readString(root.resolve("deploy/node-settings.ini"));
    String text = LIST.matcher(template).replaceAll(String.join(",", zones));
    Matcher matcher = VALUE.matcher(text);
    StringBuilder filled = new StringBuilder();
    while (matcher.find()) {
      String value = values.get(matcher.group(1));
      if (value == null) {
        throw new IOException("the template has an unknown field: " + matcher.group(1));
      }
      matcher.appendReplacement(filled, Matcher.quoteReplacement(value));
    }
    matcher.appendTail(filled);
    Path settings = folder.resolve(name + ".ini");
    Files.writeString(settings, filled.toString());
    Node node = new Node(name, front, ready, settings, folder.resolve(name + ".log"));
    all.add(node);
    return node;
  }

  /** Starts a node's process. */
  void start(Node node) throws IOException {
    Matcher run = RUN_LINE.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no run line");
    }
    ProcessBuilder builder =
        new ProcessBuilder(run.group(1).split(" "))
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(node.log.toFile()))
            .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
    String path = builder.environment().getOrDefault("PATH", "/usr/bin:/bin");
    builder.environment().clear();
    builder.environment().put("PATH", path);
    builder.environment().put("HOME", folder.toString());
    builder.environment().put("FLAMINGOCHUTE_BOOT", node.settings.toString());
    node.process = builder.start();
    record.add("node %s started", node.name);
  }

  /** Kills a node's process. */
  void kill(Node node) {
    record.add("node %s killed", node.name);
    node.process.destroyForcibly();
  }

  /** Sends a signal to a node's process. */
  void signal(Node node, String signal) throws IOException {
    record.add("signal %s to node %s", signal, node.name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(node.pid())).start();
  }

  /** Returns the node that took the leadership last. */
  Node leader() throws IOException {
    Node leader = null;
    long highest = -1;
    Pattern taken = Pattern.compile("event=leadership_taken epoch=(\\d+)");
    for (Node node : all) {
      if (!Files.exists(node.log)) {
        continue;
      }
      Matcher matcher = taken.matcher(Files.readString(node.log));
      while (matcher.find()) {
        long epoch = Long.parseLong(matcher.group(1));
        if (epoch > highest) {
          highest = epoch;
          leader = node;
        }
      }
    }
    return leader;
  }

  /** Ends all processes. */
  void stopAll() {
    for (Node node : all) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
    for (Node node : all) {
      try {
        if (node.process != null) {
          node.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
