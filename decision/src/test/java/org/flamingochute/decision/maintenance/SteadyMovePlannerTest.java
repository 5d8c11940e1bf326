package org.flamingochute.decision.maintenance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.RackId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SteadyMovePlannerTest {

  private static final long MILLISECONDS_PER_SECOND = 1_000;
  private static final PoolId SPARE = new PoolId("spare");
  private static final PoolId FIRST = new PoolId("first");
  private static final PoolId SECOND = new PoolId("second");

  private final SteadyMovePlanner planner = new SteadyMovePlanner(MoveSettings.defaults());
  private final List<PoolInstance> instances = new ArrayList<>();

  private void add(PoolId pool, int count) {
    for (int i = 0; i < count; i++) {
      int number = instances.size();
      instances.add(instance("i-" + number, pool, number));
    }
  }

  private static PoolInstance instance(String name, PoolId pool, int number) {
    return new PoolInstance(
        new InstanceId(name),
        pool,
        new DataCentreId("dc-" + number % 3),
        new RackId("rack-" + number / 4),
        InstanceCondition.AVAILABLE,
        0);
  }

  private void apply(InstanceMove move) {
    for (int i = 0; i < instances.size(); i++) {
      if (instances.get(i).instance().equals(move.instance())) {
        instances.set(i, instance(move.instance().value(), move.to(), i));
      }
    }
  }

  private List<InstanceMove> planAndApplyMoves(long now, double first, double second) {
    List<PoolDemand> pools =
        List.of(
            new PoolDemand(FIRST, 6, 4, first),
            new PoolDemand(SECOND, 8, 4, second),
            new PoolDemand(SPARE, 6, 0, 0));
    List<InstanceMove> moves = planner.nextMoves(new MoveInput(pools, instances, SPARE), now);
    moves.forEach(this::apply);
    return moves;
  }

  private void addFleet() {
    add(FIRST, 6);
    add(SECOND, 8);
    add(SPARE, 6);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 4, 6})
  void shortBurstCausesNoMove(int burstSeconds) {
    addFleet();
    List<InstanceMove> moves = new ArrayList<>();
    for (int second = 0; second < 600; second++) {
      double demand = second % 20 < burstSeconds ? 15 : 1;
      moves.addAll(planAndApplyMoves(second * MILLISECONDS_PER_SECOND, demand, 7.4));
    }
    assertThat(moves, empty());
  }

  @Test
  void lastingDeficitBorrowsInstancesAndReturnsThemLater() {
    addFleet();
    List<InstanceMove> borrowed = new ArrayList<>();
    for (int second = 0; second < 600; second++) {
      borrowed.addAll(planAndApplyMoves(second * MILLISECONDS_PER_SECOND, 8, 7.4));
    }
    assertThat(borrowed, hasSize(2));
    assertThat(borrowed.getFirst().from(), equalTo(SPARE));
    List<InstanceMove> returned = new ArrayList<>();
    for (int second = 600; second < 1_800; second++) {
      returned.addAll(planAndApplyMoves(second * MILLISECONDS_PER_SECOND, 3, 7.4));
    }
    assertThat(returned, hasSize(2));
    assertThat(returned.getFirst().to(), equalTo(SPARE));
  }

  @Test
  void poolWithSurplusLendsBeforeSparePool() {
    addFleet();
    List<InstanceMove> moves = new ArrayList<>();
    for (int second = 0; second < 300; second++) {
      moves.addAll(planAndApplyMoves(second * MILLISECONDS_PER_SECOND, 6.9, 2));
    }
    assertThat(moves, hasSize(1));
    assertThat(moves.getFirst().from(), equalTo(SECOND));
  }

  @Test
  void lenderKeepsItsAvailabilityBudget() {
    add(FIRST, 6);
    add(SECOND, 4);
    for (int second = 0; second < 600; second++) {
      assertThat(planAndApplyMoves(second * MILLISECONDS_PER_SECOND, 12, 0), empty());
    }
  }
}
