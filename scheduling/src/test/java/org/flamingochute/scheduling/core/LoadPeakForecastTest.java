package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.schema.scheduling.PoolHistory;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Load that rises in one pool after the other, every 8 s. */
class LoadPeakForecastTest {
  private static final long GAP = 8_000;
  private static final List<PoolId> POOLS =
      List.of(new PoolId("a"), new PoolId("b"), new PoolId("c"));

  private final LoadPeakForecast forecast = new LoadPeakForecast();

  @BeforeEach
  void allPoolsAreQuiet() {
    POOLS.forEach(pool -> forecast.observe(pool, 0, 0));
  }

  private void turn(int pool, long begin) {
    forecast.observe(POOLS.get(pool), 1, begin);
    forecast.observe(POOLS.get(pool), 0.1, begin + GAP);
  }

  @Test
  void poolWithoutTurnMayRiseAtAnyTime() {
    turn(0, 1_000);
    turn(1, 9_000);
    assertThat(forecast.isPeakDue(POOLS.get(2), 10_000, 0), is(true));
  }

  @Test
  void poolIsNotDueBeforeTheOthersHadTheirTurns() {
    turn(0, 1_000);
    turn(1, 9_000);
    assertThat(forecast.isPeakDue(POOLS.get(0), 16_900, 2_000), is(false));
  }

  @ParameterizedTest
  @CsvSource({"22000, false", "23500, true", "25500, true", "29000, false"})
  void poolIsDueOneGapAfterTheLastOne(long now, boolean due) {
    turn(0, 1_000);
    turn(1, 9_000);
    turn(2, 17_000);
    assertThat(forecast.isPeakDue(POOLS.get(0), now, 2_000), is(due));
  }

  @Test
  void poolThatRisesUnexpectedlyHasNoForecast() {
    turn(0, 1_000);
    turn(1, 9_000);
    turn(0, 12_000);
    assertThat(forecast.isPeakDue(POOLS.get(0), 21_000, 0), is(true));
    assertThat(forecast.canLend(POOLS.get(0), 21_000, 1_000), is(false));
  }

  @ParameterizedTest
  @CsvSource({"10000, true", "14000, false"})
  void poolsLendUntilTheNextRiseIsNear(long now, boolean lends) {
    turn(0, 1_000);
    turn(1, 9_000);
    assertThat(forecast.canLend(POOLS.get(2), now, 4_000), is(lends));
  }

  @Test
  void poolInItsTurnLendsNothing() {
    forecast.observe(POOLS.get(0), 1, 1_000);
    assertThat(forecast.canLend(POOLS.get(0), 1_100, 1_000), is(false));
  }

  @Test
  void successorGoesOnFromTheRecord() {
    turn(0, 1_000);
    turn(1, 9_000);
    turn(2, 17_000);
    PoolHistory.Builder history = PoolHistory.newBuilder();
    forecast.record(history);
    LoadPeakForecast successor = new LoadPeakForecast();
    successor.restore(history.build());
    POOLS.forEach(pool -> successor.observe(pool, 0, 20_000));
    assertThat(successor.isPeakDue(POOLS.get(0), 24_000, 2_000), is(true));
    assertThat(successor.isPeakDue(POOLS.get(1), 24_000, 2_000), is(false));
  }
}
