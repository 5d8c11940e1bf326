package org.flamingochute.engine.fake;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.decision.fleet.KeyDigest;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.ServiceId;
import org.flamingochute.decision.settings.SettingsReader;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.engine.CallerRequest;
import org.flamingochute.engine.DefaultEntryNode;
import org.flamingochute.engine.EntryNodeSettings;
import org.flamingochute.schema.EntrySettings;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.ResourceAmount;
import org.flamingochute.schema.SettingChange;

/**
 * Several entry nodes on a fake platform, with a small fleet: three runners, two workers, two
 * teams.
 */
public final class Cluster {

  /** Key of team red. */
  public static final String RED_KEY = "red-secret";

  /** Key of team blue. */
  public static final String BLUE_KEY = "blue-secret";

  /** Key of the operator ana and of the bootstrap operator. */
  public static final String OPERATOR_KEY = "operator-secret";

  private static final long TIMEOUT_MILLISECONDS = 2_000;
  private static final int CAPACITY_MILLICORES = 4_000;
  private static final int CAPACITY_MEBIBYTES = 8_192;

  public final VirtualTimers clock = new VirtualTimers();
  public final FakeLog log = new FakeLog(clock);
  public final FakePeerNetwork network = new FakePeerNetwork(clock);
  public final FakeEndpoints endpoints = new FakeEndpoints(clock);
  public final FakePlatform platform = new FakePlatform(clock);
  public final FakeWorkers workers = new FakeWorkers(clock);
  public final List<Entry> entries = new ArrayList<>();

  /** One entry process. */
  public static final class Entry {
    public final String instance;
    public final PausableTimers process;
    public final FakeLog.Connection log;
    public final DefaultEntryNode node;
    public final MetricRegistry metrics;

    private Entry(
        String instance,
        PausableTimers process,
        FakeLog.Connection log,
        DefaultEntryNode node,
        MetricRegistry metrics) {
      this.instance = instance;
      this.process = process;
      this.log = log;
      this.node = node;
      this.metrics = metrics;
    }

    /** Returns the address at which peers reach the entry. */
    public String peerAddress() {
      return "peer-" + instance;
    }
  }

  private static final int DEFAULT_SNAPSHOT_RECORDS = 5_000;

  private int snapshotRecords = DEFAULT_SNAPSHOT_RECORDS;

  /** Starts entries, applies the fleet description and advances the clock until all are ready. */
  public static Cluster start(int entries, String... extraChanges) {
    return startWithSnapshots(entries, DEFAULT_SNAPSHOT_RECORDS, extraChanges);
  }

  /** Starts entries that write a snapshot after the given number of records. */
  public static Cluster startWithSnapshots(
      int entries, int snapshotRecords, String... extraChanges) {
    Cluster cluster = new Cluster();
    cluster.snapshotRecords = snapshotRecords;
    cluster.listInstances();
    for (int i = 1; i <= entries; i++) {
      cluster.addEntry("entry-" + i, "entry-" + i + "-a");
    }
    cluster.clock.advance(1_500);
    cluster.applyFleet(extraChanges);
    cluster.clock.advance(4_000);
    return cluster;
  }

  /**
   * Returns the result of a completed future; fails if it has not completed, instead of blocking.
   */
  public static <T> T result(CompletableFuture<T> future) {
    if (!future.isDone()) {
      throw new AssertionError("the future has not completed");
    }
    return future.join();
  }

  /** Starts an entry process. */
  public Entry addEntry(String instance, String incarnation) {
    PausableTimers process = new PausableTimers(clock);
    FakeLog.Connection logConnection = log.connect(process);
    MetricRegistry metrics = new MetricRegistry();
    String address = "peer-" + instance;
    EntryNodeSettings settings =
        new EntryNodeSettings(
            settings(instance),
            new Incarnation(incarnation),
            "http-" + instance,
            address,
            logConnection,
            platform.instanceList(process),
            platform.poolControl(process),
            workers.control(process),
            endpoints.client(process),
            network.transport(address, process),
            process,
            metrics);
    platform.addInstance(
        ListedInstance.newBuilder()
            .setInstance(instance)
            .setIncarnation(incarnation)
            .setKind(InstanceKind.INSTANCE_ENTRY)
            .setState(InstanceState.INSTANCE_LIVE)
            .setDataCentre("centre-a")
            .setRack("rack-entries")
            .setAddress(address)
            .build());
    Entry entry =
        new Entry(instance, process, logConnection, DefaultEntryNode.create(settings), metrics);
    entries.add(entry);
    entry.node.start();
    return entry;
  }

  /** Returns an entry by its index. */
  public Entry entry(int index) {
    return entries.get(index);
  }

  /** Kills an entry's process; the platform's instance list does not change. */
  public void kill(int index) {
    entries.get(index).process.kill();
  }

  /** Lists an instance as gone in the platform's instance list. */
  public void listAsGone(String instance) {
    platform.setState(instance, InstanceState.INSTANCE_GONE);
  }

  /** Sends a request that is not idempotent; the path starts with the name of the team. */
  public CompletableFuture<CallerOutcome> send(int entry, String key, String path) {
    return send(entry, key, path, false, Optional.empty());
  }

  /** Sends a request. */
  public CompletableFuture<CallerOutcome> send(
      int entry, String key, String path, boolean idempotent, Optional<String> idempotencyKey) {
    return send(entry, key, path, idempotent, idempotencyKey, TIMEOUT_MILLISECONDS);
  }

  /** Sends a request with the given timeout. */
  public CompletableFuture<CallerOutcome> send(
      int entry,
      String key,
      String path,
      boolean idempotent,
      Optional<String> idempotencyKey,
      long timeoutMilliseconds) {
    return entries
        .get(entry)
        .node
        .request(
            new CallerRequest(
                new ServiceId("quote"),
                Optional.ofNullable(key),
                "POST",
                path,
                List.of(),
                new byte[0],
                timeoutMilliseconds,
                idempotent,
                idempotencyKey.map(IdempotencyKey::new)));
  }

  /** Applies changes as the operator ana, based on the entry's current version. */
  public void patch(int entry, String... changes) {
    DefaultEntryNode node = entries.get(entry).node;
    node.patch(OPERATOR_KEY, patch("ana", node.agreed().description().getVersion(), changes));
  }

  /**
   * Builds a patch from lines of section kind, section name, key and value, where the name - stands
   * for none. A line without a value removes the setting, and a line without a key the section.
   */
  public static FleetPatch patch(String operator, long baseVersion, String... changes) {
    FleetPatch.Builder patch =
        FleetPatch.newBuilder().setOperatorName(operator).setBaseVersion(baseVersion);
    for (String change : changes) {
      String[] words = change.split(" ");
      SettingChange.Builder settingChange =
          SettingChange.newBuilder()
              .setSectionKind(words[0])
              .setSectionName(words[1].equals("-") ? "" : words[1]);
      if (words.length > 2) {
        settingChange.setKey(words[2]);
      }
      if (words.length > 3) {
        settingChange.setValue(words[3]);
      }
      patch.addChanges(settingChange);
    }
    return patch.build();
  }

  private void applyFleet(String... extraChanges) {
    List<String> changes =
        new ArrayList<>(
            List.of(
                "fleet - company rueda",
                "pool proofs kind runner",
                "pool proofs size 3",
                "pool proofs minimum_available 2",
                "pool press kind worker",
                "pool press size 2",
                "service quote pool proofs",
                "team red share 1",
                "team red cap 6",
                "team blue share 1",
                "team blue cap 6",
                "key red-1 team red",
                "key red-1 digest " + KeyDigest.of(RED_KEY),
                "key blue-1 team blue",
                "key blue-1 digest " + KeyDigest.of(BLUE_KEY),
                "operator ana rights patch",
                "operator ana digest " + KeyDigest.of(OPERATOR_KEY)));
    changes.addAll(List.of(extraChanges));
    FleetPatch patch = patch("bootstrap", 0, changes.toArray(new String[0]));
    entries.getFirst().node.patch(OPERATOR_KEY, patch);
  }

  private void listInstances() {
    for (int i = 1; i <= 3; i++) {
      platform.addInstance(
          listedInstance("runner-" + i, InstanceKind.INSTANCE_RUNNER, "proofs", i));
    }
    for (int i = 1; i <= 2; i++) {
      platform.addInstance(listedInstance("worker-" + i, InstanceKind.INSTANCE_WORKER, "press", i));
    }
  }

  private static ListedInstance listedInstance(
      String name, InstanceKind kind, String pool, int rack) {
    return ListedInstance.newBuilder()
        .setInstance(name)
        .setKind(kind)
        .setState(InstanceState.INSTANCE_LIVE)
        .setDataCentre("centre-a")
        .setRack("rack-" + rack)
        .setFirstPool(pool)
        .setAddress(name)
        .setCapacity(
            ResourceAmount.newBuilder()
                .setProcessorMillicores(CAPACITY_MILLICORES)
                .setMemoryMebibytes(CAPACITY_MEBIBYTES))
        .build();
  }

  private EntrySettings settings(String instance) {
    String text =
        """
        [entry]
        instance = %s
        data_centre = centre-a
        bootstrap_operator_digest = %s
        [platform]
        log_address = 127.0.0.1:1
        list_address = 127.0.0.1:1
        pool_address = 127.0.0.1:1
        [timing]
        snapshot_records = %d
        stop_notice_milliseconds = 0
        """
            .formatted(instance, KeyDigest.of(OPERATOR_KEY), snapshotRecords);
    return new SettingsReader<>(EntrySettings.getDefaultInstance())
        .read("entry.ini", text)
        .getOrElseThrow(reports -> new IllegalStateException(reports.toString()));
  }
}
