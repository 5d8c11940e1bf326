package org.flamingochute.experiment.escrow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.decision.capacity.OwnTokens;
import org.flamingochute.decision.capacity.PeerTokens;
import org.flamingochute.decision.capacity.TokenAsk;
import org.flamingochute.decision.capacity.TokenSurplus;
import org.flamingochute.decision.capacity.TransferPolicy;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.Draws;
import org.flamingochute.experiment.model.EventQueue;

/** An entry that starts requests of one team with tokens in hand. */
final class TokenEntry {

  private final EventQueue events;
  private final Draws draws;
  private final TransferPolicy policy;
  private final TokenStatistics statistics;
  private final Map<Incarnation, TokenEntry> peers = new TreeMap<>();
  private final Map<Incarnation, PeerTokens> heard = new TreeMap<>();
  private final Deque<Double> waiting = new ArrayDeque<>();
  final Incarnation id;
  private int free;
  private int inUse;
  private int asked;

  TokenEntry(
      Incarnation id,
      int tokens,
      EventQueue events,
      Draws draws,
      TransferPolicy policy,
      TokenStatistics statistics) {
    this.id = id;
    this.free = tokens;
    this.events = events;
    this.draws = draws;
    this.policy = policy;
    this.statistics = statistics;
  }

  void addPeer(TokenEntry peer) {
    peers.put(peer.id, peer);
  }

  int free() {
    return free;
  }

  int waiting() {
    return waiting.size();
  }

  void arrive() {
    statistics.offered();
    waiting.add(events.now());
    dispatch();
  }

  /** Starts requests with free tokens, and asks for tokens for the others. */
  void dispatch() {
    while (!waiting.isEmpty()
        && events.now() - waiting.peek() > TokenScenario.TIMEOUT_MILLISECONDS) {
      waiting.poll();
    }
    while (free > 0 && !waiting.isEmpty()) {
      statistics.started(events.now() - waiting.poll());
      free--;
      inUse++;
      events.after(draws.exponential(TokenScenario.SERVICE_MILLISECONDS), this::end);
    }
    if (!waiting.isEmpty()) {
      policy.asks(own(), List.copyOf(heard.values())).forEach(this::ask);
    }
    policy.surplusTransfers(own(), List.copyOf(heard.values())).forEach(this::send);
  }

  private void send(TokenSurplus surplus) {
    statistics.surplus();
    free -= surplus.tokens();
    heard.computeIfPresent(
        surplus.peer(), (key, known) -> new PeerTokens(key, known.freeTokens(), 0));
    TokenEntry peer = peers.get(surplus.peer());
    events.after(
        Company.ONE_WAY_MILLISECONDS,
        () -> {
          peer.free += surplus.tokens();
          peer.dispatch();
        });
  }

  private void end() {
    inUse--;
    free++;
    dispatch();
  }

  private void ask(TokenAsk ask) {
    statistics.roundTrip();
    asked += ask.tokens();
    TokenEntry peer = peers.get(ask.peer());
    heard.computeIfPresent(
        ask.peer(),
        (key, known) -> new PeerTokens(key, known.freeTokens() - ask.tokens(), known.waiting()));
    events.after(
        Company.ONE_WAY_MILLISECONDS,
        () -> {
          int given = peer.policy.give(peer.own(), ask.tokens());
          peer.free -= given;
          events.after(
              Company.ONE_WAY_MILLISECONDS,
              () -> {
                asked -= ask.tokens();
                free += given;
                dispatch();
              });
        });
  }

  private OwnTokens own() {
    return new OwnTokens(free, inUse, waiting.size(), asked);
  }

  void gossip() {
    PeerTokens report = new PeerTokens(id, free, waiting.size());
    for (TokenEntry peer : new ArrayList<>(peers.values())) {
      events.after(
          Company.ONE_WAY_MILLISECONDS,
          () -> {
            peer.heard.put(id, report);
            peer.dispatch();
          });
    }
  }
}
