package org.flamingochute.engine.peer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ToIntFunction;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.capacity.OwnTokens;
import org.flamingochute.decision.capacity.TokenTransferRequest;
import org.flamingochute.decision.capacity.TransferPolicy;
import org.flamingochute.decision.escrow.EscrowLedger;
import org.flamingochute.decision.escrow.OutgoingTransfer;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.engine.job.JobTokens;
import org.flamingochute.engine.log.FreshnessMonitor;
import org.flamingochute.engine.request.TeamTokens;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.MemberImage;
import org.flamingochute.schema.PeerFrame;
import org.flamingochute.schema.TokenRequest;
import org.flamingochute.schema.TokenTransfer;
import org.flamingochute.schema.TokenTransferAcknowledged;

/**
 * Transfers cap tokens to the entries whose requests wait for them.
 *
 * <p>The ledger debits a transfer before it is sent, and credits each transfer once; this class
 * sends requests, answers requests of peers and resends transfers. A transfer that is not
 * acknowledged is sent again with each heartbeat.
 *
 * <p>Example: 3 requests of a team wait at this entry and 2 run, and gossip reports that B has 5
 * free tokens. This entry requests 5 tokens from B; B grants 4 and resends the transfer until this
 * entry has acknowledged it.
 */
public final class TokenBroker implements TeamTokens, JobTokens {

  /** Time after which a token request expires, at the requesting entry and at the receiver. */
  private static final long REQUEST_EXPIRY_MILLISECONDS = 250;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EscrowLedger ledger;
  private final AgreedView agreed;
  private final TransferPolicy policy;
  private final PeerLink link;
  private final PeerUsage usage;
  private final FreshnessMonitor freshness;
  private final Timers timers;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final PendingTokenRequests pendingRequests = new PendingTokenRequests();
  private final Map<TeamId, RequestedTokens> requestedTokens = new HashMap<>();
  private volatile ToIntFunction<TeamId> waiting = team -> 0;
  private volatile Runnable onTokensReceived = () -> {};

  /** Creates a broker for the ledger of this entry. */
  public TokenBroker(
      EscrowLedger ledger,
      AgreedView agreed,
      TransferPolicy policy,
      PeerLink link,
      PeerUsage usage,
      FreshnessMonitor freshness,
      Timers timers,
      Incarnation self,
      MetricRegistry metrics) {
    this.ledger = ledger;
    this.agreed = agreed;
    this.policy = policy;
    this.link = link;
    this.usage = usage;
    this.freshness = freshness;
    this.timers = timers;
    this.self = self;
    this.metrics = metrics;
  }

  /**
   * Connects the broker to the consumers of tokens.
   *
   * @param waitingPerTeam returns the number of requests and jobs of a team that wait at this entry
   * @param tokenListener called after tokens were received or credited
   */
  public void connect(ToIntFunction<TeamId> waitingPerTeam, Runnable tokenListener) {
    waiting = waitingPerTeam;
    onTokensReceived = tokenListener;
  }

  @Override
  public boolean tryAcquire(TeamId team) {
    return ledger.tryAcquire(team);
  }

  @Override
  public void release(TeamId team) {
    ledger.release(team);
    pendingRequests
        .removeOldest(team, timers.monotonicMilliseconds())
        .ifPresent(request -> grant(team, request));
  }

  @Override
  public OptionalLong debitForAttempt(TeamId team) {
    return ledger.debitForAttempt(team);
  }

  @Override
  public void creditUnappendedAttempt(TeamId team, long epoch) {
    ledger.creditUnappendedAttempt(team, epoch);
    onTokensReceived.run();
  }

  /** Returns the number of requests and jobs of the team that wait at this entry. */
  public int waiting(TeamId team) {
    return waiting.applyAsInt(team);
  }

  @Override
  public int free(TeamId team) {
    return ledger.usableTokens(team);
  }

  @Override
  public void requestTokens(TeamId team) {
    long epoch = ledger.epoch(team);
    List<TokenTransferRequest> transferRequests =
        policy.transferRequests(ownTokens(team), usage.tokens(team));
    for (TokenTransferRequest transferRequest : transferRequests) {
      addRequested(team, transferRequest.tokens());
      TokenRequest request =
          TokenRequest.newBuilder()
              .setTeam(team.value())
              .setEpoch(epoch)
              .setWanted(transferRequest.tokens())
              .build();
      metrics.counter("tokens.asks").inc();
      link.send(transferRequest.peer(), PeerFrame.newBuilder().setTokenRequest(request));
    }
  }

  /** Answers a token request of a peer. */
  void handleRequest(Incarnation peer, TokenRequest request) {
    TeamId team = new TeamId(request.getTeam());
    if (request.getEpoch() != ledger.epoch(team)) {
      return;
    }
    long expiryMilliseconds = timers.monotonicMilliseconds() + REQUEST_EXPIRY_MILLISECONDS;
    grant(
        team,
        new PendingTokenRequests.PendingRequest(peer, request.getWanted(), expiryMilliseconds));
  }

  private void grant(TeamId team, PendingTokenRequests.PendingRequest request) {
    int granted = policy.tokensToGrant(ownTokens(team), request.tokens());
    if (granted > 0) {
      transfer(team, request.peer(), granted);
    }
    pendingRequests.replace(
        team, request.peer(), request.tokens() - granted, request.expiryMilliseconds());
  }

  /**
   * Credits a transfer and acknowledges it. A transfer that the ledger cannot handle yet, for
   * example one of a later epoch, is ignored; the peer resends it.
   */
  void handleTransfer(Incarnation peer, TokenTransfer transfer) {
    Optional<TokenTransferAcknowledged> acknowledgement = ledger.handleTransfer(peer, transfer);
    if (acknowledgement.isEmpty()) {
      metrics.counter("tokens.transfers_early").inc();
      return;
    }
    TokenTransferAcknowledged acknowledged = acknowledgement.get();
    link.send(peer, PeerFrame.newBuilder().setTokenTransferAcknowledged(acknowledged));
    if (!acknowledged.getCredited()) {
      metrics.counter("tokens.transfers_not_credited").inc();
      return;
    }
    metrics.counter("tokens.transfers_received").inc();
    subtractReceived(new TeamId(transfer.getTeam()), transfer.getTokens());
    onTokensReceived.run();
  }

  /** Stops resending an acknowledged transfer. */
  void handleAcknowledgement(Incarnation peer, TokenTransferAcknowledged acknowledged) {
    ledger.handleAcknowledgement(peer, acknowledged);
  }

  /** Resends transfers that were not acknowledged. */
  void resendTransfers() {
    for (OutgoingTransfer outgoing : ledger.unacknowledgedTransfers()) {
      metrics.counter("tokens.transfers_repeated").inc();
      link.send(outgoing.receiver(), PeerFrame.newBuilder().setTokenTransfer(outgoing.transfer()));
    }
  }

  /**
   * Transfers the free tokens of teams without waiting work to a reachable peer.
   *
   * @return true if no token is held and no transfer is unacknowledged
   */
  public boolean transferFreeTokens() {
    boolean isEmpty = true;
    for (String name : agreed.description().getTeamsMap().keySet()) {
      TeamId team = new TeamId(name);
      int free = ledger.usableTokens(team);
      if (free > 0 && waiting(team) == 0) {
        transferTarget(team).ifPresent(peer -> transfer(team, peer, free));
      }
      isEmpty &= ledger.heldTokens(team) == 0;
    }
    return isEmpty && ledger.unacknowledgedTransfers().isEmpty();
  }

  /** Returns whether any reachable peer can receive this entry's tokens. */
  public boolean hasTransferTarget() {
    for (MemberImage member : agreed.members()) {
      Incarnation peer = new Incarnation(member.getJoined().getIncarnation());
      if (isTransferTarget(peer)) {
        return true;
      }
    }
    return false;
  }

  private boolean isTransferTarget(Incarnation peer) {
    return !peer.equals(self) && freshness.isReachable(peer) && !usage.isStopping(peer);
  }

  private Optional<Incarnation> transferTarget(TeamId team) {
    Optional<Incarnation> first = Optional.empty();
    for (MemberImage member : agreed.members()) {
      Incarnation peer = new Incarnation(member.getJoined().getIncarnation());
      if (!isTransferTarget(peer)) {
        continue;
      }
      if (usage.hasWaitingRequests(peer, team)) {
        return Optional.of(peer);
      }
      if (first.isEmpty()) {
        first = Optional.of(peer);
      }
    }
    return first;
  }

  private void transfer(TeamId team, Incarnation peer, int tokens) {
    Optional<OutgoingTransfer> transfer = ledger.debitForTransfer(team, tokens, peer);
    if (transfer.isEmpty()) {
      return;
    }
    metrics.counter("tokens.sent").inc(transfer.get().transfer().getTokens());
    logger.atFine().log("event=tokens_sent team=%s receiver=%s tokens=%d", team, peer, tokens);
    link.send(peer, PeerFrame.newBuilder().setTokenTransfer(transfer.get().transfer()));
  }

  private OwnTokens ownTokens(TeamId team) {
    int free = ledger.usableTokens(team);
    return new OwnTokens(free, ledger.tokensInUse(team), waiting(team), requestedTokens(team));
  }

  private synchronized int requestedTokens(TeamId team) {
    RequestedTokens requested = requestedTokens.get(team);
    if (requested == null || requested.expiryMilliseconds() < timers.monotonicMilliseconds()) {
      return 0;
    }
    return requested.tokens();
  }

  private synchronized void addRequested(TeamId team, int tokens) {
    long expiryMilliseconds = timers.monotonicMilliseconds() + REQUEST_EXPIRY_MILLISECONDS;
    requestedTokens.put(
        team, new RequestedTokens(requestedTokens(team) + tokens, expiryMilliseconds));
  }

  private synchronized void subtractReceived(TeamId team, int tokens) {
    requestedTokens.computeIfPresent(
        team,
        (key, requested) ->
            new RequestedTokens(
                Math.max(0, requested.tokens() - tokens), requested.expiryMilliseconds()));
  }

  private record RequestedTokens(int tokens, long expiryMilliseconds) {}
}
