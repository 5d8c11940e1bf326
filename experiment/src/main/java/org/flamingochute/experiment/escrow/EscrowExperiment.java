package org.flamingochute.experiment.escrow;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.capacity.DemandTransferPolicy;
import org.flamingochute.decision.capacity.StaticSplitPolicy;
import org.flamingochute.decision.capacity.TransferPolicy;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.EventQueue;
import org.flamingochute.experiment.model.RandomSampler;

/**
 * Measures transfers of the tokens of one team's cap among nine entries, while most of its requests
 * arrive at a single entry, which changes every 5 s.
 *
 * <p>The policy {@code owner} stands for an owner of each team, from which the entries fetch a
 * token for each request. Since the owner holds all tokens, it is simulated as a single entry, and
 * one round trip is counted for each request. The reported waits do not include the round trip. The
 * ratio of started requests is also the bound on what the cap allows.
 */
public final class EscrowExperiment implements Experiment {

  private static final int ENTRY_COUNT = 9;
  private static final int TOKEN_CAP = 64;
  private static final double SAMPLE_INTERVAL_MILLISECONDS = 10;
  private static final double[] LOAD_RATIOS = {0.5, 0.8, 1.5};
  private static final double HOT_ENTRY_RATIO = 0.7;
  private static final double HOT_ENTRY_MILLISECONDS = 5_000;

  @Override
  public String name() {
    return "escrow";
  }

  @Override
  public String description() {
    return "Round trips, stranded tokens and waits under the cap of one team at nine entries.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> measurements = new ArrayList<>();
    for (double loadRatio : LOAD_RATIOS) {
      String subject = "load " + Math.round(loadRatio * 100) + " %";
      TokenScenario scenario =
          new TokenScenario(
              ENTRY_COUNT, TOKEN_CAP, loadRatio, HOT_ENTRY_RATIO, HOT_ENTRY_MILLISECONDS);
      measurements.addAll(
          run(scenario, new StaticSplitPolicy(), seed).measurements(subject, "static-split"));
      measurements.addAll(
          run(scenario, new DemandTransferPolicy(), seed).measurements(subject, "by-demand"));
      TokenScenario singleEntryScenario =
          new TokenScenario(1, TOKEN_CAP, loadRatio, 1, HOT_ENTRY_MILLISECONDS);
      TokenStatistics ownerStatistics = run(singleEntryScenario, new StaticSplitPolicy(), seed);
      ownerStatistics.addRoundTripPerRequest();
      measurements.addAll(ownerStatistics.measurements(subject, "owner"));
    }
    return measurements;
  }

  private static TokenStatistics run(TokenScenario scenario, TransferPolicy policy, long seed) {
    EventQueue events = new EventQueue();
    RandomSampler sampler = new RandomSampler(seed);
    TokenStatistics statistics = new TokenStatistics();
    List<TokenEntry> entries = new ArrayList<>();
    for (int i = 0; i < scenario.entryCount(); i++) {
      int extraTokens = i < scenario.cap() % scenario.entryCount() ? 1 : 0;
      int tokens = scenario.cap() / scenario.entryCount() + extraTokens;
      Incarnation id = new Incarnation("entry-" + i);
      entries.add(new TokenEntry(id, tokens, events, sampler, policy, statistics));
    }
    for (TokenEntry entry : entries) {
      entries.stream().filter(peer -> peer != entry).forEach(entry::addPeer);
      events.schedulePeriodically(
          TokenScenario.HEARTBEAT_INTERVAL_MILLISECONDS, entry::sendHeartbeats);
    }
    events.schedulePeriodically(
        SAMPLE_INTERVAL_MILLISECONDS,
        () -> statistics.recordStrandedTokens(countStrandedTokens(entries)));
    scheduleArrival(scenario, entries, events, sampler);
    events.runUntil(TokenScenario.DURATION_MILLISECONDS);
    return statistics;
  }

  private static void scheduleArrival(
      TokenScenario scenario, List<TokenEntry> entries, EventQueue events, RandomSampler sampler) {
    events.schedule(
        sampler.nextExponential(1 / scenario.requestsPerMillisecond()),
        () -> {
          int hotEntry =
              (int) (events.nowMilliseconds() / scenario.hotEntryMilliseconds()) % entries.size();
          int index =
              sampler.nextBoolean(scenario.hotEntryRatio())
                  ? hotEntry
                  : sampler.nextInt(entries.size());
          entries.get(index).submitRequest();
          scheduleArrival(scenario, entries, events, sampler);
        });
  }

  private static int countStrandedTokens(List<TokenEntry> entries) {
    int freeTokens = entries.stream().mapToInt(TokenEntry::freeTokens).sum();
    int waitingRequests = entries.stream().mapToInt(TokenEntry::waitingRequests).sum();
    return Math.min(freeTokens, waitingRequests);
  }
}
