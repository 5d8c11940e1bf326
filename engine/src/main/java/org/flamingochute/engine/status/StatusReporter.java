package org.flamingochute.engine.status;

import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.escrow.EscrowLedger;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.identity.WaveId;
import org.flamingochute.engine.peer.PeerUsage;
import org.flamingochute.engine.peer.TokenBroker;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.InstanceStopRequested;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.PoolSection;
import org.flamingochute.schema.PoolStatus;
import org.flamingochute.schema.StatusReport;
import org.flamingochute.schema.StopStatus;
import org.flamingochute.schema.TeamSection;
import org.flamingochute.schema.TeamStatus;

/** Builds the status report from the agreed state and the usage known to this entry by gossip. */
public final class StatusReporter {

  private final AgreedView agreed;
  private final EscrowLedger ledger;
  private final TokenBroker broker;
  private final PeerUsage peerUsage;
  private final WorkGate gate;
  private final String entryName;
  private final Incarnation self;

  /**
   * Creates a reporter.
   *
   * @param entryName name of this entry's instance
   */
  public StatusReporter(
      AgreedView agreed,
      EscrowLedger ledger,
      TokenBroker broker,
      PeerUsage peerUsage,
      WorkGate gate,
      String entryName,
      Incarnation self) {
    this.agreed = agreed;
    this.ledger = ledger;
    this.broker = broker;
    this.peerUsage = peerUsage;
    this.gate = gate;
    this.entryName = entryName;
    this.self = self;
  }

  /** Returns the current report. */
  public StatusReport report() {
    StatusReport.Builder report =
        StatusReport.newBuilder()
            .setVersion(agreed.description().getVersion())
            .setOffset(agreed.offset())
            .setEntry(entryName)
            .setIncarnation(self.value())
            .setReady(gate.newWorkRefusal().isEmpty())
            .addAllMembers(agreed.members());
    agreed
        .description()
        .getPoolsMap()
        .forEach((name, section) -> report.addPools(pool(name, section)));
    agreed
        .description()
        .getTeamsMap()
        .forEach((name, section) -> report.addTeams(team(name, section)));
    for (InstanceImage instance : agreed.instances()) {
      if (instance.hasStop()) {
        report.addStops(stop(instance));
      }
    }
    for (String wave : agreed.description().getWavesMap().keySet()) {
      agreed.wave(new WaveId(wave)).ifPresent(report::addWaves);
    }
    return report.build();
  }

  private PoolStatus pool(String name, PoolSection section) {
    PoolId pool = new PoolId(name);
    int available = 0;
    for (InstanceImage instance : agreed.instances(pool)) {
      boolean isLive = instance.getObserved().getState() == InstanceState.INSTANCE_LIVE;
      if (isLive && !instance.hasStop()) {
        available++;
      }
    }
    return PoolStatus.newBuilder()
        .setPool(name)
        .setKind(section.getKind())
        .setSize(section.getSize())
        .setInstances(agreed.instances(pool).size())
        .setAvailable(available)
        .setMinimumAvailable(section.getMinimumAvailable())
        .setJobsWaiting(agreed.jobs(pool, JobPhase.JOB_WAITING).size())
        .setJobsRunning(agreed.jobs(pool, JobPhase.JOB_RUNNING).size())
        .setJobsParked(agreed.jobs(pool, JobPhase.JOB_PARKED).size())
        .build();
  }

  private TeamStatus team(String name, TeamSection section) {
    TeamId team = new TeamId(name);
    int free = ledger.usableTokens(team);
    int runningJobs = agreed.escrow(team).map(image -> image.getJobsRunning()).orElse(0);
    return TeamStatus.newBuilder()
        .setTeam(name)
        .setShare(section.getShare())
        .setCap(section.getCap())
        .setRunningRequests(ledger.tokensInUse(team) + peerUsage.running(team))
        .setRunningJobs(runningJobs)
        .setWaiting(broker.waiting(team) + peerUsage.waiting(team))
        .setFreeTokens(free)
        .build();
  }

  private static StopStatus stop(InstanceImage instance) {
    InstanceStopRequested stop = instance.getStop();
    return StopStatus.newBuilder()
        .setOperation(stop.getOperation())
        .setInstance(stop.getInstance())
        .setPool(stop.getPool())
        .setPurpose(stop.getPurpose().name())
        .setStep(instance.getLastStep().name())
        .setWave(stop.getWave())
        .build();
  }
}
