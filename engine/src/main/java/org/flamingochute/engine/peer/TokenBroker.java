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
import org.flamingochute.decision.capacity.TokenAsk;
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
 * Moves tokens of caps to the entries whose requests wait for them.
 *
 * <p>The ledger debits a transfer before it is sent, and credits each one once; this class asks,
 * answers and repeats. A transfer that is not acknowledged is sent again with each heartbeat.
 *
 * <p>Example: 3 requests of a team wait here, and gossip says that B has 5 free tokens. B is asked,
 * gives 4, and the transfer is repeated until this entry has acknowledged it.
 */
public final class TokenBroker implements TeamTokens, JobTokens {

  /** Time for which tokens that were asked for count as coming. */
  private static final long ASK_MILLISECONDS = 250;

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
  private final OpenAsks openAsks = new OpenAsks();
  private final Map<TeamId, Asked> asked = new HashMap<>();
  private volatile ToIntFunction<TeamId> waiting = team -> 0;
  private volatile Runnable tokensCame = () -> {};

  /** Creates a broker over the ledger of this entry. */
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
   * Connects the broker with the work that uses tokens.
   *
   * @param waitingOfTeam gives the number of requests and jobs of a team that wait here
   * @param whenTokensCame runs after tokens were received
   */
  public void connect(ToIntFunction<TeamId> waitingOfTeam, Runnable whenTokensCame) {
    waiting = waitingOfTeam;
    tokensCame = whenTokensCame;
  }

  @Override
  public boolean tryAcquire(TeamId team) {
    return ledger.tryTake(team);
  }

  @Override
  public void release(TeamId team) {
    ledger.giveBack(team);
    openAsks.takeOldest(team, timers.monotonicMilliseconds()).ifPresent(ask -> give(team, ask));
  }

  @Override
  public OptionalLong debitForAttempt(TeamId team) {
    return ledger.debitForAttempt(team);
  }

  @Override
  public void creditRefusedAttempt(TeamId team, long epoch) {
    ledger.creditRefusedAttempt(team, epoch);
    tokensCame.run();
  }

  /** Returns the requests and jobs of the team that wait here. */
  public int waiting(TeamId team) {
    return waiting.applyAsInt(team);
  }

  @Override
  public int free(TeamId team) {
    return ledger.free(team);
  }

  @Override
  public void requestTokens(TeamId team) {
    long epoch = ledger.epoch(team);
    List<TokenAsk> asks = policy.asks(own(team), usage.tokens(team));
    for (TokenAsk ask : asks) {
      noteAsked(team, ask.tokens());
      TokenRequest request =
          TokenRequest.newBuilder()
              .setTeam(team.value())
              .setEpoch(epoch)
              .setWanted(ask.tokens())
              .build();
      metrics.counter("tokens.asks").inc();
      link.send(ask.peer(), PeerFrame.newBuilder().setTokenRequest(request));
    }
  }

  /** Answers a peer that asks for tokens. */
  void takeRequest(Incarnation peer, TokenRequest request) {
    TeamId team = new TeamId(request.getTeam());
    if (request.getEpoch() != ledger.epoch(team)) {
      return;
    }
    long until = timers.monotonicMilliseconds() + ASK_MILLISECONDS;
    give(team, new OpenAsks.Ask(peer, request.getWanted(), until));
  }

  private void give(TeamId team, OpenAsks.Ask ask) {
    int given = policy.give(own(team), ask.wanted());
    if (given > 0) {
      transfer(team, ask.peer(), given);
    }
    openAsks.remember(team, ask.peer(), ask.wanted() - given, ask.untilMilliseconds());
  }

  /** Credits a transfer and acknowledges it. */
  void takeTransfer(Incarnation peer, TokenTransfer transfer) {
    Optional<TokenTransferAcknowledged> answer = ledger.receive(peer, transfer);
    if (answer.isEmpty()) {
      metrics.counter("tokens.transfers_early").inc();
      return;
    }
    TokenTransferAcknowledged acknowledged = answer.get();
    link.send(peer, PeerFrame.newBuilder().setTokenTransferAcknowledged(acknowledged));
    if (!acknowledged.getCredited()) {
      metrics.counter("tokens.transfers_not_credited").inc();
      return;
    }
    metrics.counter("tokens.transfers_received").inc();
    noteReceived(new TeamId(transfer.getTeam()), transfer.getTokens());
    tokensCame.run();
  }

  /** Ends the repetition of a transfer. */
  void takeAcknowledgement(Incarnation peer, TokenTransferAcknowledged acknowledged) {
    ledger.acknowledged(peer, acknowledged);
  }

  /** Sends transfers again that were not acknowledged. */
  void repeatTransfers() {
    for (OutgoingTransfer open : ledger.unacknowledged()) {
      metrics.counter("tokens.transfers_repeated").inc();
      link.send(open.receiver(), PeerFrame.newBuilder().setTokenTransfer(open.transfer()));
    }
  }

  /**
   * Gives the free tokens of teams without waiting work to a peer that is heard.
   *
   * @return true when nothing is held and no transfer is under way
   */
  public boolean handOver() {
    boolean empty = true;
    for (String name : agreed.description().getTeamsMap().keySet()) {
      TeamId team = new TeamId(name);
      int free = ledger.free(team);
      if (free > 0 && waiting(team) == 0) {
        heir(team).ifPresent(peer -> transfer(team, peer, free));
      }
      empty &= ledger.held(team) == 0;
    }
    return empty && ledger.unacknowledged().isEmpty();
  }

  /** Tells whether any other member is heard that could take tokens over. */
  public boolean hasHeir() {
    for (MemberImage member : agreed.members()) {
      Incarnation peer = new Incarnation(member.getJoined().getIncarnation());
      if (canInherit(peer)) {
        return true;
      }
    }
    return false;
  }

  private boolean canInherit(Incarnation peer) {
    return !peer.equals(self) && freshness.isReachable(peer) && !usage.isStopping(peer);
  }

  private Optional<Incarnation> heir(TeamId team) {
    Optional<Incarnation> first = Optional.empty();
    for (MemberImage member : agreed.members()) {
      Incarnation peer = new Incarnation(member.getJoined().getIncarnation());
      if (!canInherit(peer)) {
        continue;
      }
      if (usage.isWaiting(peer, team)) {
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

  private OwnTokens own(TeamId team) {
    int free = ledger.free(team);
    return new OwnTokens(free, ledger.inUse(team), waiting(team), askedFor(team));
  }

  private synchronized int askedFor(TeamId team) {
    Asked present = asked.get(team);
    if (present == null || present.untilMilliseconds() < timers.monotonicMilliseconds()) {
      return 0;
    }
    return present.tokens();
  }

  private synchronized void noteAsked(TeamId team, int tokens) {
    long until = timers.monotonicMilliseconds() + ASK_MILLISECONDS;
    asked.put(team, new Asked(askedFor(team) + tokens, until));
  }

  private synchronized void noteReceived(TeamId team, int tokens) {
    asked.computeIfPresent(
        team,
        (key, present) ->
            new Asked(Math.max(0, present.tokens() - tokens), present.untilMilliseconds()));
  }

  private record Asked(int tokens, long untilMilliseconds) {}
}
