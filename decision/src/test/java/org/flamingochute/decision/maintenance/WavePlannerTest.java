package org.flamingochute.decision.maintenance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.flamingochute.decision.identity.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class WavePlannerTest {

  static LongStream seeds() {
    return LongStream.range(0, 300);
  }

  private static List<PoolInstance> poolOfRacks(int racks, int perRack) {
    List<PoolInstance> pool = new ArrayList<>();
    for (int i = 0; i < racks * perRack; i++) {
      pool.add(RandomFleet.instance(i, i / perRack, i / perRack, InstanceCondition.AVAILABLE, 0));
    }
    return pool;
  }

  private static List<PoolInstance> withStops(List<PoolInstance> pool, List<InstanceId> stops) {
    List<PoolInstance> after = new ArrayList<>();
    for (PoolInstance instance : pool) {
      InstanceCondition condition =
          stops.contains(instance.instance()) ? InstanceCondition.STOPPED : instance.condition();
      after.add(
          new PoolInstance(
              instance.instance(),
              instance.pool(),
              instance.dataCentre(),
              instance.rack(),
              condition,
              instance.inFlight()));
    }
    return after;
  }

  private static void assertLimitsHold(
      PoolStopLimits limits, List<PoolInstance> before, List<InstanceId> stops) {
    List<PoolInstance> after = withStops(before, stops);
    long availableBefore = before.stream().filter(PoolInstance::isAvailable).count();
    long available = after.stream().filter(PoolInstance::isAvailable).count();
    long expectedMinimum = Math.min(availableBefore, limits.minimumAvailable());
    assertThat(available, greaterThanOrEqualTo(expectedMinimum));
    long domainsBefore = stoppedDomains(before);
    long expectedMaximum = Math.max(domainsBefore, limits.maximumStoppedDomains());
    assertThat(stoppedDomains(after), lessThanOrEqualTo(expectedMaximum));
  }

  private static long stoppedDomains(List<PoolInstance> pool) {
    return pool.stream()
        .filter(instance -> instance.condition() == InstanceCondition.STOPPED)
        .map(PoolInstance::domain)
        .distinct()
        .count();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void keepsLimitsOnRandomFleets(long seed) {
    List<PoolInstance> pool = RandomFleet.pool(seed);
    PoolStopLimits limits = RandomFleet.limits(seed, pool.size());
    for (WavePlanner planner : List.of(new DomainWavePlanner(), new SequentialWavePlanner())) {
      WaveState state = new WaveState(List.of(limits), pool, Set.of(), false);
      assertLimitsHold(limits, pool, planner.nextStops(state));
    }
    ShrinkPlanner shrink = new ShrinkPlanner();
    int size = pool.size() / 2;
    List<InstanceId> retirements = shrink.nextRetirements(limits, pool, size);
    assertLimitsHold(limits, pool, retirements);
    long remaining =
        withStops(pool, retirements).stream()
            .filter(instance -> instance.condition() != InstanceCondition.STOPPED)
            .count();
    long before =
        pool.stream().filter(instance -> instance.condition() != InstanceCondition.STOPPED).count();
    assertThat(remaining, greaterThanOrEqualTo(Math.min(before, size)));
  }

  @ParameterizedTest
  @CsvSource({"2,4,5,1,4", "2,4,4,1,2", "2,4,4,2,2", "2,4,6,2,4", "3,3,0,3,1", "3,3,6,3,3"})
  void needsFewestSteps(int racks, int perRack, int minimum, int domains, int expectedSteps) {
    List<PoolInstance> pool = poolOfRacks(racks, perRack);
    PoolStopLimits limits = new PoolStopLimits(RandomFleet.POOL, minimum, domains);
    Set<InstanceId> finished = new HashSet<>();
    int steps = 0;
    while (finished.size() < pool.size() && steps < 100) {
      WaveState state = new WaveState(List.of(limits), pool, finished, false);
      finished.addAll(new DomainWavePlanner().nextStops(state));
      steps++;
    }
    assertThat(steps, equalTo(expectedSteps));
  }

  @Test
  void pausedWaveStopsNothing() {
    PoolStopLimits limits = new PoolStopLimits(RandomFleet.POOL, 0, 3);
    WaveState state = new WaveState(List.of(limits), poolOfRacks(2, 4), Set.of(), true);
    assertThat(new DomainWavePlanner().nextStops(state), empty());
    assertThat(new SequentialWavePlanner().nextStops(state), empty());
  }

  @Test
  void shrinkKeepsDataCentresBalanced() {
    List<PoolInstance> pool = new ArrayList<>();
    int[] dataCentres = {0, 0, 0, 0, 1, 1, 1, 2};
    for (int i = 0; i < dataCentres.length; i++) {
      pool.add(RandomFleet.instance(i, dataCentres[i], i / 4, InstanceCondition.AVAILABLE, i));
    }
    List<PoolInstance> order = new ShrinkPlanner().retirementOrder(pool, 4);
    pool.removeAll(order);
    assertThat(order, hasSize(4));
    for (int dataCentre = 0; dataCentre < 3; dataCentre++) {
      String name = "dc-" + dataCentre;
      long remaining =
          pool.stream().filter(instance -> instance.dataCentre().value().equals(name)).count();
      assertThat(remaining, greaterThanOrEqualTo(1L));
    }
  }
}
