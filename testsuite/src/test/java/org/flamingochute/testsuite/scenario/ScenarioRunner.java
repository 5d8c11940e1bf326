package org.flamingochute.testsuite.scenario;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.EntrySettings;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.StoredRecord;
import org.flamingochute.testsuite.promise.Declarations;
import org.flamingochute.testsuite.promise.Evidence;
import org.flamingochute.testsuite.promise.PromiseCatalogue;
import org.flamingochute.testsuite.simulation.SimulatedInstance;
import org.flamingochute.testsuite.simulation.VirtualClock;

/** Executes a scenario and checks its outcome. */
public final class ScenarioRunner {

  private final EntrySettings settings;

  /** Creates an executor with the settings that all entries use. */
  public ScenarioRunner(EntrySettings settings) {
    this.settings = settings;
  }

  /** Executes a scenario and returns the broken promises and unmet expectations. */
  public List<String> problems(ScenarioDescriptor scenario) {
    Evidence evidence = play(scenario);
    List<String> problems = new ArrayList<>(PromiseCatalogue.violations(evidence));
    problems.addAll(new ExpectationChecker(evidence).unmet(scenario.expectations()));
    return problems;
  }

  /** Executes a scenario and returns its recorded outcome. */
  public Evidence play(ScenarioDescriptor scenario) {
    ScenarioWorld world = new ScenarioWorld(scenario, settings);
    final Declarations declarations = new Declarations(Secrets.replaceByDigests(scenario.fleet()));
    FaultPlayer faults = new FaultPlayer(world);
    faults.schedule(scenario.faults());
    CallPlayer calls = new CallPlayer(world);
    PatchPlayer patches = new PatchPlayer(world);
    for (ScenarioCommand command : scenario.calls()) {
      if (!calls.schedule(command) && !patches.schedule(command)) {
        throw command.error("unknown call \"" + command.verb() + "\"");
      }
    }
    world.clock.runUntil(scenario.header().durationMilliseconds());
    declareAccepted(world, declarations);
    return evidence(scenario, world, declarations, faults);
  }

  /**
   * Records the accepted patches with their append times, from the longest audit trail of any
   * entry. The audit trail also contains patches whose response was lost.
   */
  private static void declareAccepted(ScenarioWorld world, Declarations declarations) {
    List<AuditEntry> trail = List.of();
    for (SimulatedEntry entry : world.entries()) {
      List<AuditEntry> other = entry.node().agreed().audit();
      trail = other.size() > trail.size() ? other : trail;
    }
    for (AuditEntry audited : trail) {
      if (audited.getAccepted() && audited.getBaseVersion() > 0) {
        long at = audited.getTimeMilliseconds() - VirtualClock.START_WALL_MILLISECONDS;
        audited.getChangesList().forEach(change -> declarations.accepted(at, change));
      }
    }
  }

  private static Evidence evidence(
      ScenarioDescriptor scenario,
      ScenarioWorld world,
      Declarations declarations,
      FaultPlayer faults) {
    Map<String, Evidence.InstanceFacts> instances = new LinkedHashMap<>();
    for (SimulatedInstance instance : world.platform.instances()) {
      instances.put(
          instance.name(),
          new Evidence.InstanceFacts(
              instance.name(), instance.kind().name(), instance.firstPool(), instance.rack()));
    }
    List<Evidence.FinalView> views = new ArrayList<>();
    for (SimulatedEntry entry : world.entries()) {
      if (entry.isRunning()) {
        views.add(finalView(entry, faults.isConnected(entry.process().name())));
      }
    }
    return new Evidence(
        world.journal,
        declarations,
        world.log.records().stream().map(ScenarioRunner::timedRecord).toList(),
        instances,
        faults.largestListLag(),
        scenario.header().durationMilliseconds(),
        views);
  }

  private static Evidence.TimedRecord timedRecord(StoredRecord stored) {
    long at = stored.getAppendTimeMilliseconds() - VirtualClock.START_WALL_MILLISECONDS;
    try {
      return new Evidence.TimedRecord(at, LogRecord.parseFrom(stored.getRecord()));
    } catch (InvalidProtocolBufferException exception) {
      return new Evidence.TimedRecord(at, LogRecord.getDefaultInstance());
    }
  }

  private static Evidence.FinalView finalView(SimulatedEntry entry, boolean connected) {
    AgreedView view = entry.node().agreed();
    AgreedStateImage image = view.image();
    Map<String, String> pools = new TreeMap<>();
    view.instances()
        .forEach(instance -> pools.put(instance.getObserved().getInstance(), instance.getPool()));
    Map<String, String> phases = new TreeMap<>();
    for (JobImage job : image.getJobsList()) {
      phases.put(job.getSubmitted().getJob(), job.getPhase().name());
    }
    return new Evidence.FinalView(
        entry.process().name(),
        connected,
        view.offset(),
        view.description().getVersion(),
        digest(image),
        pools,
        phases);
  }

  private static String digest(AgreedStateImage image) {
    return Secrets.digest(HexFormat.of().formatHex(image.toByteArray()));
  }
}
