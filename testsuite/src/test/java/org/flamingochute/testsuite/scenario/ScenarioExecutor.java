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
import org.flamingochute.testsuite.promise.ConfigurationHistory;
import org.flamingochute.testsuite.promise.PromiseCatalogue;
import org.flamingochute.testsuite.promise.ScenarioResult;
import org.flamingochute.testsuite.simulation.SimulatedInstance;
import org.flamingochute.testsuite.simulation.VirtualClock;

/** Executes a scenario and checks its outcome. */
public final class ScenarioExecutor {

  private final EntrySettings settings;

  /** Creates an executor with the settings that all entries use. */
  public ScenarioExecutor(EntrySettings settings) {
    this.settings = settings;
  }

  /** Executes a scenario and returns the broken promises and unmet expectations. */
  public List<String> findProblems(ScenarioDescriptor scenario) {
    ScenarioResult evidence = execute(scenario);
    List<String> problems = new ArrayList<>(PromiseCatalogue.violations(evidence));
    problems.addAll(new ExpectationChecker(evidence).unmetExpectations(scenario.expectations()));
    return problems;
  }

  /** Executes a scenario and returns its recorded outcome. */
  public ScenarioResult execute(ScenarioDescriptor scenario) {
    ScenarioEnvironment world = new ScenarioEnvironment(scenario, settings);
    final ConfigurationHistory declarations =
        new ConfigurationHistory(Secrets.replaceWithDigests(scenario.fleet()));
    FaultInjector faults = new FaultInjector(world);
    faults.schedule(scenario.faults());
    CallerSimulator callers = new CallerSimulator(world);
    OperatorSimulator operators = new OperatorSimulator(world);
    for (ScenarioCommand command : scenario.calls()) {
      if (!callers.schedule(command) && !operators.schedule(command)) {
        throw command.error("unknown call \"" + command.verb() + "\"");
      }
    }
    world.clock.runUntil(scenario.header().durationMilliseconds());
    recordAcceptedPatches(world, declarations);
    return createResult(scenario, world, declarations, faults);
  }

  /**
   * Records the accepted patches with their append times, from the longest audit trail of any
   * entry. The audit trail also contains patches whose response was lost.
   */
  private static void recordAcceptedPatches(
      ScenarioEnvironment world, ConfigurationHistory declarations) {
    List<AuditEntry> longestTrail = List.of();
    for (SimulatedEntry entry : world.entries()) {
      List<AuditEntry> other = entry.node().agreed().audit();
      longestTrail = other.size() > longestTrail.size() ? other : longestTrail;
    }
    for (AuditEntry audited : longestTrail) {
      if (audited.getAccepted() && audited.getBaseVersion() > 0) {
        long at = audited.getTimeMilliseconds() - VirtualClock.START_WALL_MILLISECONDS;
        audited.getChangesList().forEach(change -> declarations.addAcceptedChange(at, change));
      }
    }
  }

  private static ScenarioResult createResult(
      ScenarioDescriptor scenario,
      ScenarioEnvironment world,
      ConfigurationHistory declarations,
      FaultInjector faults) {
    Map<String, ScenarioResult.InstanceDetails> instances = new LinkedHashMap<>();
    for (SimulatedInstance instance : world.platform.instances()) {
      instances.put(
          instance.name(),
          new ScenarioResult.InstanceDetails(
              instance.name(), instance.kind().name(), instance.firstPool(), instance.rack()));
    }
    List<ScenarioResult.FinalEntryState> views = new ArrayList<>();
    for (SimulatedEntry entry : world.entries()) {
      if (entry.isRunning()) {
        views.add(finalEntryState(entry, faults.isConnected(entry.process().name())));
      }
    }
    return new ScenarioResult(
        world.journal,
        declarations,
        world.log.records().stream().map(ScenarioExecutor::timedRecord).toList(),
        instances,
        faults.largestListLagMilliseconds(),
        scenario.header().durationMilliseconds(),
        views);
  }

  private static ScenarioResult.TimedRecord timedRecord(StoredRecord stored) {
    long at = stored.getAppendTimeMilliseconds() - VirtualClock.START_WALL_MILLISECONDS;
    try {
      return new ScenarioResult.TimedRecord(at, LogRecord.parseFrom(stored.getRecord()));
    } catch (InvalidProtocolBufferException exception) {
      return new ScenarioResult.TimedRecord(at, LogRecord.getDefaultInstance());
    }
  }

  private static ScenarioResult.FinalEntryState finalEntryState(
      SimulatedEntry entry, boolean connected) {
    AgreedView view = entry.node().agreed();
    AgreedStateImage image = view.image();
    Map<String, String> pools = new TreeMap<>();
    view.instances()
        .forEach(instance -> pools.put(instance.getObserved().getInstance(), instance.getPool()));
    Map<String, String> phases = new TreeMap<>();
    for (JobImage job : image.getJobsList()) {
      phases.put(job.getSubmitted().getJob(), job.getPhase().name());
    }
    return new ScenarioResult.FinalEntryState(
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
