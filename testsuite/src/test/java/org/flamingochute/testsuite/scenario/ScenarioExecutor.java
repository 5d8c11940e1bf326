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
    ScenarioResult result = execute(scenario);
    List<String> problems = new ArrayList<>(PromiseCatalogue.violations(result));
    problems.addAll(new ExpectationChecker(result).unmetExpectations(scenario.expectations()));
    return problems;
  }

  /** Executes a scenario and returns its recorded outcome. */
  public ScenarioResult execute(ScenarioDescriptor scenario) {
    ScenarioEnvironment environment = new ScenarioEnvironment(scenario, settings);
    final ConfigurationHistory configurationHistory =
        new ConfigurationHistory(Secrets.replaceWithDigests(scenario.fleet()));
    FaultInjector faults = new FaultInjector(environment);
    faults.schedule(scenario.faults());
    CallerSimulator callers = new CallerSimulator(environment);
    OperatorSimulator operators = new OperatorSimulator(environment);
    for (ScenarioCommand command : scenario.calls()) {
      if (!callers.schedule(command) && !operators.schedule(command)) {
        throw command.error("unknown call \"" + command.verb() + "\"");
      }
    }
    environment.clock.runUntil(scenario.header().durationMilliseconds());
    recordAcceptedPatches(environment, configurationHistory);
    return createResult(scenario, environment, configurationHistory, faults);
  }

  /**
   * Records the accepted patches, except the initial description, with their append times, from the
   * longest audit trail of any entry. The audit trail also contains patches whose response was
   * lost.
   */
  private static void recordAcceptedPatches(
      ScenarioEnvironment environment, ConfigurationHistory configurationHistory) {
    List<AuditEntry> longestTrail = List.of();
    for (SimulatedEntry entry : environment.entries()) {
      List<AuditEntry> trail = entry.node().agreed().audit();
      longestTrail = trail.size() > longestTrail.size() ? trail : longestTrail;
    }
    for (AuditEntry audited : longestTrail) {
      if (audited.getAccepted() && audited.getBaseVersion() > 0) {
        long at = audited.getTimeMilliseconds() - VirtualClock.START_WALL_MILLISECONDS;
        audited
            .getChangesList()
            .forEach(change -> configurationHistory.addAcceptedChange(at, change));
      }
    }
  }

  private static ScenarioResult createResult(
      ScenarioDescriptor scenario,
      ScenarioEnvironment environment,
      ConfigurationHistory configurationHistory,
      FaultInjector faults) {
    Map<String, ScenarioResult.InstanceDetails> instances = new LinkedHashMap<>();
    for (SimulatedInstance instance : environment.platform.instances()) {
      instances.put(
          instance.name(),
          new ScenarioResult.InstanceDetails(
              instance.name(), instance.kind().name(), instance.firstPool(), instance.rack()));
    }
    List<ScenarioResult.FinalEntryState> entryStates = new ArrayList<>();
    for (SimulatedEntry entry : environment.entries()) {
      if (entry.isRunning()) {
        entryStates.add(finalEntryState(entry, faults.isConnectedToLog(entry.process().name())));
      }
    }
    return new ScenarioResult(
        environment.journal,
        configurationHistory,
        environment.log.records().stream().map(ScenarioExecutor::timedRecord).toList(),
        instances,
        faults.largestListLagMilliseconds(),
        scenario.header().durationMilliseconds(),
        entryStates);
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
      SimulatedEntry entry, boolean connectedToLog) {
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
        connectedToLog,
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
