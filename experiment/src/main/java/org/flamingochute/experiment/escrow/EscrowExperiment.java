package org.flamingochute.experiment.escrow;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.capacity.DemandTransferPolicy;
import org.flamingochute.decision.capacity.StaticSplitPolicy;
import org.flamingochute.decision.capacity.TransferPolicy;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Draws;
import org.flamingochute.experiment.model.EventQueue;

/**
 * The tokens of one team's cap at nine entries, when most of its requests reach one entry for 5 s
 * and then the next one.
 *
 * <p>With an owner per team each request first fetches a token from the owner, one round trip, and
 * the owner has all tokens: its waits are those of one entry plus the round trip. That is also the
 * bound of what the cap allows.
 */
public final class EscrowExperiment implements Experiment {

  private static final int ENTRIES = 9;
  private static final int CAP = 64;
  private static final double SAMPLE_MILLISECONDS = 10;
  private static final double[] LOADS = {0.5, 0.8, 1.5};
  private static final double HOT_PART = 0.7;
  private static final double HOT_MILLISECONDS = 5_000;

  @Override
  public String name() {
    return "escrow";
  }

  @Override
  public String description() {
    return "Round trips, stranded tokens and waits of one team's cap at nine entries.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> found = new ArrayList<>();
    for (double load : LOADS) {
      String subject = "load " + Math.round(load * 100) + " %";
      TokenScenario scenario = new TokenScenario(ENTRIES, CAP, load, HOT_PART, HOT_MILLISECONDS);
      found.addAll(
          run(scenario, new StaticSplitPolicy(), seed).measurements(subject, "static-split"));
      found.addAll(
          run(scenario, new DemandTransferPolicy(), seed).measurements(subject, "by-demand"));
      TokenScenario single = new TokenScenario(1, CAP, load, 1, HOT_MILLISECONDS);
      TokenStatistics owner = run(single, new StaticSplitPolicy(), seed);
      owner.roundTripForEach();
      found.addAll(owner.measurements(subject, "owner"));
    }
    return found;
  }

  private static TokenStatistics run(TokenScenario scenario, TransferPolicy policy, long seed) {
    EventQueue events = new EventQueue();
    Draws draws = new Draws(seed);
    TokenStatistics statistics = new TokenStatistics();
    List<TokenEntry> entries = new ArrayList<>();
    for (int i = 0; i < scenario.entries(); i++) {
      int rest = i < scenario.cap() % scenario.entries() ? 1 : 0;
      int tokens = scenario.cap() / scenario.entries() + rest;
      Incarnation id = new Incarnation("entry-" + i);
      entries.add(new TokenEntry(id, tokens, events, draws, policy, statistics));
    }
    for (TokenEntry entry : entries) {
      entries.stream().filter(peer -> peer != entry).forEach(entry::addPeer);
      events.every(TokenScenario.GOSSIP_MILLISECONDS, entry::gossip);
    }
    events.every(SAMPLE_MILLISECONDS, () -> statistics.sampleStranded(stranded(entries)));
    scheduleArrival(scenario, entries, events, draws);
    events.runUntil(TokenScenario.DURATION_MILLISECONDS);
    return statistics;
  }

  private static void scheduleArrival(
      TokenScenario scenario, List<TokenEntry> entries, EventQueue events, Draws draws) {
    events.after(
        draws.exponential(1 / scenario.requestsPerMillisecond()),
        () -> {
          int hot = (int) (events.now() / scenario.hotMilliseconds()) % entries.size();
          int index = draws.happens(scenario.hotPart()) ? hot : draws.below(entries.size());
          entries.get(index).arrive();
          scheduleArrival(scenario, entries, events, draws);
        });
  }

  private static int stranded(List<TokenEntry> entries) {
    int free = entries.stream().mapToInt(TokenEntry::free).sum();
    int waiting = entries.stream().mapToInt(TokenEntry::waiting).sum();
    return Math.min(free, waiting);
  }
}
