package org.flamingochute.engine.status;

import java.util.HashMap;
import java.util.Map;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.escrow.EscrowLedger;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.engine.peer.GossipSource;
import org.flamingochute.engine.peer.TokenBroker;
import org.flamingochute.engine.request.EndpointTable;
import org.flamingochute.engine.request.StartedRequestCounter;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.schema.EndpointUsage;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.TeamUsage;

/** Provides the usage of teams and endpoints that this entry reports to its peers. */
public final class UsageReporter implements GossipSource {

  private final AgreedView agreed;
  private final EscrowLedger ledger;
  private final TokenBroker broker;
  private final EndpointTable endpoints;
  private final StartedRequestCounter startedRequests;
  private final WorkGate gate;

  /** Creates the reporter of one entry. */
  public UsageReporter(
      AgreedView agreed,
      EscrowLedger ledger,
      TokenBroker broker,
      EndpointTable endpoints,
      StartedRequestCounter startedRequests,
      WorkGate gate) {
    this.agreed = agreed;
    this.ledger = ledger;
    this.broker = broker;
    this.endpoints = endpoints;
    this.startedRequests = startedRequests;
    this.gate = gate;
  }

  @Override
  public boolean isStopping() {
    return gate.isStopping();
  }

  @Override
  public Map<String, TeamUsage> teams() {
    Map<String, TeamUsage> usages = new HashMap<>();
    for (String name : agreed.description().getTeamsMap().keySet()) {
      TeamId team = new TeamId(name);
      int free = ledger.usableTokens(team);
      usages.put(
          name,
          TeamUsage.newBuilder()
              .setTeam(name)
              .setRunning(ledger.tokensInUse(team))
              .setWaiting(broker.waiting(team))
              .setFreeTokens(free)
              .setStartedTotal(startedRequests.total(team))
              .build());
    }
    return usages;
  }

  @Override
  public Map<String, EndpointUsage> endpoints() {
    Map<InstanceId, Integer> localInFlight = endpoints.localInFlight();
    Map<String, EndpointUsage> usages = new HashMap<>();
    for (InstanceImage instance : agreed.instances()) {
      if (instance.getObserved().getKind() != InstanceKind.INSTANCE_RUNNER) {
        continue;
      }
      String name = instance.getObserved().getInstance();
      int inFlight = localInFlight.getOrDefault(new InstanceId(name), 0);
      usages.put(name, EndpointUsage.newBuilder().setEndpoint(name).setInFlight(inFlight).build());
    }
    return usages;
  }
}
