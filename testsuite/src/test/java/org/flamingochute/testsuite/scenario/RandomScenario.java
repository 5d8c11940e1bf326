package org.flamingochute.testsuite.scenario;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates the text of a random scenario with up to four faults and up to three patches. The text
 * depends only on the seed, and a scenario that finds a failure can be saved as a descriptor file.
 */
public final class RandomScenario {

  private static final List<String> ENTRIES = List.of("a", "b", "c");
  private static final List<String> RUNNERS = List.of("p1", "p2", "p3", "q1", "q2", "q3");
  private static final List<String> WORKERS = List.of("w1", "w2", "w3");
  private static final List<String> BEHAVIOURS =
      List.of("late", "short", "crossed", "busy", "cut", "failing");
  private static final int FIRST_FAULT_MILLISECONDS = 2_500;
  private static final int FAULT_SPAN_MILLISECONDS = 9_000;
  private static final int MAXIMUM_FAULT_MILLISECONDS = 9_000;
  private static final int FAULT_KIND_COUNT = 12;

  private final UniformRandomProvider random;
  private final List<String> calls = new ArrayList<>();
  private final List<String> faults = new ArrayList<>();
  private boolean isEntryLost;

  private RandomScenario(long seed) {
    random = RandomSource.SPLIT_MIX_64.create(seed);
  }

  /** Returns the text of the scenario for a seed. */
  public static String generate(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.addCalls();
    int count = 1 + scenario.random.nextInt(4);
    for (int i = 0; i < count; i++) {
      scenario.addFault();
    }
    return scenario.toText(seed);
  }

  private String toText(long seed) {
    StringBuilder text = new StringBuilder("# Random schedule with seed " + seed + ".\n");
    text.append("=== scenario\nduration = 45000\nseed = ").append(seed).append('\n');
    text.append("=== faults\n");
    faults.forEach(fault -> text.append(fault).append('\n'));
    text.append("=== calls\n");
    calls.forEach(call -> text.append(call).append('\n'));
    return text.toString();
  }

  private void addCalls() {
    calls.add(
        "2000 request steady service=proofs key=captains-secret repeat=300 every="
            + (20 + random.nextInt(40))
            + " run="
            + (10 + random.nextInt(150)));
    calls.add(
        "2000 request order service=quotes key=shops-secret once=true retries=3 repeat=80 every="
            + (30 + random.nextInt(120))
            + " run="
            + (10 + random.nextInt(200)));
    calls.add("2000 request open service=catalogue repeat=100 every=70 run=40 idempotent=true");
    calls.add(
        "2100 job batch pool=print key=captains-secret once=true idempotent=false repeat=8"
            + " every=200"
            + " run="
            + (200 + random.nextInt(2_000)));
    calls.add("2200 job night pool=print key=shops-secret repeat=6 every=300 run=700");
    addPatches();
  }

  private void addPatches() {
    int version = 1;
    int count = random.nextInt(4);
    for (int i = 0; i < count; i++) {
      int at = FIRST_FAULT_MILLISECONDS + 3_000 * i + random.nextInt(2_000);
      calls.add(
          at
              + " patch change"
              + i
              + " entry="
              + pickRandom(ENTRIES)
              + " base="
              + version
              + " "
              + randomChange());
      version++;
    }
  }

  private String randomChange() {
    return switch (random.nextInt(4)) {
      case 0 -> "team/captains/cap:" + (2 + random.nextInt(20));
      case 1 -> "team/shops/cap:" + (1 + random.nextInt(8));
      case 2 -> "wave/kernel/pools:proofs,print";
      default -> "pool/quotes/size:2";
    };
  }

  private String pickRandom(List<String> names) {
    return names.get(random.nextInt(names.size()));
  }

  private void addFault() {
    int start = FIRST_FAULT_MILLISECONDS + random.nextInt(FAULT_SPAN_MILLISECONDS);
    int end = start + 200 + random.nextInt(MAXIMUM_FAULT_MILLISECONDS);
    switch (random.nextInt(FAULT_KIND_COUNT)) {
      case 0 -> addEntryLoss(start, end);
      case 1 -> addFaultWithEnd(start, "freeze " + pickRandom(ENTRIES), end, "freeze ", "thaw ");
      case 2 -> addDisconnection(start, end, "cut ", pickRandom(ENTRIES), pickRandom(ENTRIES));
      case 3 ->
          addDisconnection(start, end, "cut-one-way ", pickRandom(ENTRIES), pickRandom(ENTRIES));
      case 4 -> addDisconnection(start, end, "cut ", pickRandom(ENTRIES), "log");
      case 5 -> {
        faults.add(start + " log-down");
        faults.add(end + " log-up");
      }
      case 6 -> {
        faults.add(start + " log-slow " + (50 + random.nextInt(900)));
        faults.add(end + " log-slow 0");
      }
      case 7 -> faults.add(start + " log-lose-replies " + (1 + random.nextInt(6)));
      case 8 -> faults.add(start + " log-repeat-appends " + (1 + random.nextInt(30)));
      case 9 -> {
        String runner = pickRandom(RUNNERS);
        faults.add(start + " runner " + runner + " " + pickRandom(BEHAVIOURS));
        faults.add(end + " runner " + runner + " healthy");
      }
      case 10 ->
          faults.add(
              start + " lose-instance " + pickRandom(random.nextBoolean() ? RUNNERS : WORKERS));
      default -> faults.add(start + " list-lag " + (300 + random.nextInt(2_000)));
    }
  }

  private void addEntryLoss(int start, int end) {
    if (isEntryLost) {
      return;
    }
    isEntryLost = true;
    String entry = pickRandom(ENTRIES);
    faults.add(start + (random.nextBoolean() ? " kill " : " stop ") + entry);
    faults.add(end + 40_000 / 4 + " start " + entry);
  }

  private void addFaultWithEnd(int start, String fault, int end, String startVerb, String endVerb) {
    faults.add(start + " " + fault);
    faults.add(end + " " + fault.replace(startVerb, endVerb));
  }

  private void addDisconnection(int start, int end, String verb, String from, String to) {
    if (from.equals(to)) {
      return;
    }
    faults.add(start + " " + verb + from + " " + to);
    faults.add(end + " heal " + from + " " + to);
  }
}
