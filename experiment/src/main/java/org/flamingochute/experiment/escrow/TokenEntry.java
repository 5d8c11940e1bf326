package org.flamingochute.experiment.escrow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.decision.capacity.OwnTokens;
import org.flamingochute.decision.capacity.PeerTokens;
import org.flamingochute.decision.capacity.SurplusTransfer;
import org.flamingochute.decision.capacity.TokenTransferRequest;
import org.flamingochute.decision.capacity.TransferPolicy;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.EventQueue;
import org.flamingochute.experiment.model.RandomSampler;

/** An entry that starts requests of one team, each with one of the tokens that it holds. */
final class TokenEntry {

  private final EventQueue events;
  private final RandomSampler sampler;
  private final TransferPolicy policy;
  private final TokenStatistics statistics;
  private final Map<Incarnation, TokenEntry> peers = new TreeMap<>();
  private final Map<Incarnation, PeerTokens> peerTokens = new TreeMap<>();
  private final Deque<Double> arrivalMilliseconds = new ArrayDeque<>();
  final Incarnation id;
  private int freeTokens;
  private int usedTokens;
  private int requestedTokens;

  TokenEntry(
      Incarnation id,
      int tokens,
      EventQueue events,
      RandomSampler sampler,
      TransferPolicy policy,
      TokenStatistics statistics) {
    this.id = id;
    this.freeTokens = tokens;
    this.events = events;
    this.sampler = sampler;
    this.policy = policy;
    this.statistics = statistics;
  }

  void addPeer(TokenEntry peer) {
    peers.put(peer.id, peer);
  }

  int freeTokens() {
    return freeTokens;
  }

  int waitingRequests() {
    return arrivalMilliseconds.size();
  }

  void submitRequest() {
    statistics.recordOffered();
    arrivalMilliseconds.add(events.nowMilliseconds());
    dispatch();
  }

  /**
   * Drops the requests that have timed out, starts requests with free tokens, and exchanges tokens
   * with the peers: requests tokens if requests remain, and transfers surplus tokens.
   */
  void dispatch() {
    while (!arrivalMilliseconds.isEmpty()
        && events.nowMilliseconds() - arrivalMilliseconds.peek()
            > TokenScenario.TIMEOUT_MILLISECONDS) {
      arrivalMilliseconds.poll();
    }
    while (freeTokens > 0 && !arrivalMilliseconds.isEmpty()) {
      statistics.recordStarted(events.nowMilliseconds() - arrivalMilliseconds.poll());
      freeTokens--;
      usedTokens++;
      events.schedule(
          sampler.nextExponential(TokenScenario.MEAN_SERVICE_MILLISECONDS), this::endRequest);
    }
    if (!arrivalMilliseconds.isEmpty()) {
      policy
          .transferRequests(ownTokens(), List.copyOf(peerTokens.values()))
          .forEach(this::requestTokens);
    }
    policy
        .surplusTransfers(ownTokens(), List.copyOf(peerTokens.values()))
        .forEach(this::transferSurplus);
  }

  private void transferSurplus(SurplusTransfer surplus) {
    statistics.recordSurplusTransfer();
    freeTokens -= surplus.tokens();
    peerTokens.computeIfPresent(
        surplus.peer(), (key, previous) -> new PeerTokens(key, previous.freeTokens(), 0));
    TokenEntry peer = peers.get(surplus.peer());
    events.schedule(
        Company.ONE_WAY_LATENCY_MILLISECONDS,
        () -> {
          peer.freeTokens += surplus.tokens();
          peer.dispatch();
        });
  }

  private void endRequest() {
    usedTokens--;
    freeTokens++;
    dispatch();
  }

  private void requestTokens(TokenTransferRequest request) {
    statistics.recordRoundTrip();
    requestedTokens += request.tokens();
    TokenEntry peer = peers.get(request.peer());
    peerTokens.computeIfPresent(
        request.peer(),
        (key, previous) ->
            new PeerTokens(key, previous.freeTokens() - request.tokens(), previous.waiting()));
    events.schedule(
        Company.ONE_WAY_LATENCY_MILLISECONDS,
        () -> {
          int grantedTokens = peer.policy.tokensToGrant(peer.ownTokens(), request.tokens());
          peer.freeTokens -= grantedTokens;
          events.schedule(
              Company.ONE_WAY_LATENCY_MILLISECONDS,
              () -> {
                requestedTokens -= request.tokens();
                freeTokens += grantedTokens;
                dispatch();
              });
        });
  }

  private OwnTokens ownTokens() {
    return new OwnTokens(freeTokens, usedTokens, arrivalMilliseconds.size(), requestedTokens);
  }

  void sendHeartbeats() {
    PeerTokens report = new PeerTokens(id, freeTokens, arrivalMilliseconds.size());
    for (TokenEntry peer : new ArrayList<>(peers.values())) {
      events.schedule(
          Company.ONE_WAY_LATENCY_MILLISECONDS,
          () -> {
            peer.peerTokens.put(id, report);
            peer.dispatch();
          });
    }
  }
}
