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

  private static List<PoolInstance> rack(int racks, int perRack) {
    List<PoolInstance> pool = new ArrayList<>();
    for (int i = 0; i < racks * perRack; i++) {
      pool.add(RandomFleet.instance(i, i / perRack, i / perRack, InstanceCondition.AVAILABLE, 0));
    }
    return pool;
  }

  private static List<PoolInstance> stopped(List<PoolInstance> pool, List<InstanceId> stops) {
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

  private static void assertGuardHolds(
      PoolGuard guard, List<PoolInstance> before, List<InstanceId> stops) {
    List<PoolInstance> after = stopped(before, stops);
    long availableBefore = before.stream().filter(PoolInstance::isAvailable).count();
    long available = after.stream().filter(PoolInstance::isAvailable).count();
    long least = Math.min(availableBefore, guard.minimumAvailable());
    assertThat(available, greaterThanOrEqualTo(least));
    long domainsBefore = stoppedDomains(before);
    long most = Math.max(domainsBefore, guard.maximumStoppedDomains());
    assertThat(stoppedDomains(after), lessThanOrEqualTo(most));
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
  void keepsGuardsOnRandomFleets(long seed) {
    List<PoolInstance> pool = RandomFleet.pool(seed);
    PoolGuard guard = RandomFleet.guard(seed, pool.size());
    for (WavePlanner planner : List.of(new DomainWavePlanner(), new SequentialWavePlanner())) {
      WaveState state = new WaveState(List.of(guard), pool, Set.of(), false);
      assertGuardHolds(guard, pool, planner.nextStops(state));
    }
    ShrinkPlanner shrink = new ShrinkPlanner();
    int size = pool.size() / 2;
    List<InstanceId> retirements = shrink.nextRetirements(guard, pool, size);
    assertGuardHolds(guard, pool, retirements);
    long left =
        stopped(pool, retirements).stream()
            .filter(instance -> instance.condition() != InstanceCondition.STOPPED)
            .count();
    long before =
        pool.stream().filter(instance -> instance.condition() != InstanceCondition.STOPPED).count();
    assertThat(left, greaterThanOrEqualTo(Math.min(before, size)));
  }

  @ParameterizedTest
  @CsvSource({"2,4,5,1,4", "2,4,4,1,2", "2,4,4,2,2", "2,4,6,2,4", "3,3,0,3,1", "3,3,6,3,3"})
  void needsFewestSteps(int racks, int perRack, int minimum, int domains, int expectedSteps) {
    List<PoolInstance> pool = rack(racks, perRack);
    PoolGuard guard = new PoolGuard(RandomFleet.POOL, minimum, domains);
    Set<InstanceId> finished = new HashSet<>();
    int steps = 0;
    while (finished.size() < pool.size() && steps < 100) {
      WaveState state = new WaveState(List.of(guard), pool, finished, false);
      finished.addAll(new DomainWavePlanner().nextStops(state));
      steps++;
    }
    assertThat(steps, equalTo(expectedSteps));
  }

  @Test
  void pausedWaveStopsNothing() {
    PoolGuard guard = new PoolGuard(RandomFleet.POOL, 0, 3);
    WaveState state = new WaveState(List.of(guard), rack(2, 4), Set.of(), true);
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
      long left =
          pool.stream().filter(instance -> instance.dataCentre().value().equals(name)).count();
      assertThat(left, greaterThanOrEqualTo(1L));
    }
  }
}
