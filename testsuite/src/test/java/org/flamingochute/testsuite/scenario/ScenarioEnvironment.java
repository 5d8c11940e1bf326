package org.flamingochute.testsuite.scenario;

import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.fleet.FleetDescriptionParser;
import org.flamingochute.decision.fleet.FleetDifference;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.DefaultEntryNode;
import org.flamingochute.engine.EntryNode;
import org.flamingochute.engine.EntryNodeSettings;
import org.flamingochute.schema.EntrySettings;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservationJournal;
import org.flamingochute.testsuite.simulation.NetworkConditions;
import org.flamingochute.testsuite.simulation.SimulatedInstance;
import org.flamingochute.testsuite.simulation.SimulatedLog;
import org.flamingochute.testsuite.simulation.SimulatedPeerNetwork;
import org.flamingochute.testsuite.simulation.SimulatedPlatform;
import org.flamingochute.testsuite.simulation.SimulatedProcess;
import org.flamingochute.testsuite.simulation.SimulatedRunners;
import org.flamingochute.testsuite.simulation.SimulatedWorkers;
import org.flamingochute.testsuite.simulation.VirtualClock;

/** The environment of a scenario: the real entry code with simulated time, network and platform. */
final class ScenarioEnvironment {

  private static final int LOG_FORMAT_VERSION = 1;
  private static final long VERSION_SAMPLE_INTERVAL_MILLISECONDS = 100;

  final VirtualClock clock = new VirtualClock();
  final NetworkConditions network = new NetworkConditions();
  final ObservationJournal journal = new ObservationJournal();
  final SimulatedLog log = new SimulatedLog(clock, network);
  final SimulatedPlatform platform = new SimulatedPlatform(clock, journal);
  final SimulatedRunners runners = new SimulatedRunners(clock, network, platform, journal);
  final SimulatedWorkers workers = new SimulatedWorkers(clock, network, platform, journal);
  final SimulatedPeerNetwork peers = new SimulatedPeerNetwork(clock, network);

  private final Map<String, SimulatedEntry> entries = new LinkedHashMap<>();
  private final Map<String, Integer> startCounts = new LinkedHashMap<>();
  private final EntrySettings settings;

  /** Creates the environment of a scenario and starts its entries. */
  ScenarioEnvironment(ScenarioDescriptor scenario, EntrySettings settings) {
    this.settings = settings;
    platform.setPlannedStopListener(new WorkTerminator());
    addInstances(scenario.header());
    appendFleetDescription(scenario);
    scenario.header().entries().forEach(this::startEntry);
  }

  private void addInstances(ScenarioHeader header) {
    for (ScenarioHeader.InstanceSpecification specification : header.instances()) {
      InstanceKind kind =
          specification.kind().equals("runner")
              ? InstanceKind.INSTANCE_RUNNER
              : InstanceKind.INSTANCE_WORKER;
      platform.add(
          new SimulatedInstance(
              specification.name(),
              kind,
              specification.pool(),
              specification.dataCentre(),
              specification.rack()));
    }
    int position = 0;
    for (String entry : header.entries()) {
      String dataCentre = "dc" + (1 + position++ % 3);
      platform.add(
          new SimulatedInstance(entry, InstanceKind.INSTANCE_ENTRY, "", dataCentre, "entry-rack"));
    }
  }

  private void appendFleetDescription(ScenarioDescriptor scenario) {
    String text = Secrets.replaceWithDigests(scenario.fleet());
    FleetDescription description =
        new FleetDescriptionParser()
            .parse(scenario.name(), text)
            .getOrElseThrow(errors -> new IllegalArgumentException(errors.toString()));
    FleetPatch patch =
        FleetPatch.newBuilder()
            .setPatchId("scenario-begin")
            .setOperatorName("bootstrap")
            .setBaseVersion(0)
            .addAllChanges(
                FleetDifference.between(FleetDescription.getDefaultInstance(), description))
            .build();
    LogRecord record =
        LogRecord.newBuilder()
            .setRecordId("scenario-begin")
            .setFormatVersion(LOG_FORMAT_VERSION)
            .setPatch(patch)
            .build();
    log.appendDirectly(record.toByteArray());
  }

  /** Starts or restarts an entry with a new incarnation. */
  void startEntry(String name) {
    int start = startCounts.merge(name, 1, Integer::sum);
    Incarnation incarnation = new Incarnation(name + "." + start);
    platform.setIncarnation(name, incarnation.value());
    SimulatedProcess process = new SimulatedProcess(name, clock);
    EntryNodeSettings nodeSettings =
        new EntryNodeSettings(
            settingsOf(name),
            incarnation,
            name,
            name,
            log.clientFor(process),
            platform.instanceListFor(process),
            platform.poolControlFor(process),
            workers.clientFor(process),
            runners.clientFor(process),
            peers.transportFor(process),
            process,
            new MetricRegistry());
    EntryNode node = DefaultEntryNode.create(nodeSettings);
    entries.put(name, new SimulatedEntry(process, incarnation, node));
    process.runAfter(0, node::start);
    process.runAfter(0, () -> sampleVersion(name, incarnation, process, node, -1));
  }

  private EntrySettings settingsOf(String name) {
    EntrySettings.Builder builder = settings.toBuilder();
    builder.getEntryBuilder().setInstance(name).setDataCentre("dc1");
    return builder.build();
  }

  private void sampleVersion(
      String name,
      Incarnation incarnation,
      SimulatedProcess process,
      EntryNode node,
      long lastVersion) {
    long version = node.agreed().description().getVersion();
    if (version != lastVersion) {
      journal.add(
          new Observation.VersionObserved(
              clock.nowMilliseconds(), name, incarnation.value(), version));
    }
    process.runAfter(
        VERSION_SAMPLE_INTERVAL_MILLISECONDS,
        () -> sampleVersion(name, incarnation, process, node, version));
  }

  /** Returns the latest incarnation of an entry. */
  Optional<SimulatedEntry> entry(String name) {
    return Optional.ofNullable(entries.get(name));
  }

  /** Returns the latest incarnation of every entry. */
  Collection<SimulatedEntry> entries() {
    return List.copyOf(entries.values());
  }

  /** Kills the process of an entry and marks its instance as gone at the platform. */
  void killEntry(String name) {
    entries.get(name).process().kill();
    platform.setState(name, InstanceState.INSTANCE_GONE);
  }

  /** Marks an instance as gone and terminates all work that runs on it. */
  void removeInstance(SimulatedInstance instance) {
    if (instance.kind() == InstanceKind.INSTANCE_ENTRY) {
      killEntry(instance.name());
      return;
    }
    platform.setState(instance.name(), InstanceState.INSTANCE_GONE);
    runners.terminateAll(instance.name(), false);
    workers.terminateAll(instance.name(), false);
  }

  private final class WorkTerminator implements SimulatedPlatform.PlannedStopListener {

    @Override
    public void instanceStopped(String instance) {
      runners.terminateAll(instance, true);
      workers.terminateAll(instance, true);
    }
  }
}
