package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.Team;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Jobs in excess of a team's rate must be detected, so that they cannot crowd out other teams. */
class TeamRatesTest {
  private static final long SECOND = 1_000;

  private final TeamRates rates = new TeamRates();

  private static Optional<Team> team(double weight) {
    return Optional.of(new Team(new TeamId("t"), Set.of(), weight, ResourceVector.ZERO));
  }

  @ParameterizedTest
  @CsvSource({"5, 5, 0", "5, 50, 36", "20, 50, 0", "0, 50, 0"})
  void onlyWhatExceedsTheRateIsExcess(double weight, int jobsInTwoSeconds, int expected) {
    int excess = 0;
    for (int i = 0; i < jobsInTwoSeconds; i++) {
      long acceptedAt = i * 2 * SECOND / jobsInTwoSeconds;
      excess += rates.recordAndCheckExcess(team(weight), acceptedAt) ? 1 : 0;
    }
    assertThat(excess, is(expected));
  }

  @Test
  void teamThatPausesMaySendAgain() {
    while (!rates.recordAndCheckExcess(team(3), 0)) {
      // Uses up the burst capacity.
    }
    assertThat(rates.recordAndCheckExcess(team(3), 2 * SECOND), is(false));
  }

  @Test
  void jobsWithoutTeamAreNeverExcess() {
    assertThat(rates.recordAndCheckExcess(Optional.empty(), 0), is(false));
  }

  /** A check alone must not use up the rate, or a refused job would take the place of another. */
  @Test
  void checkCountsNothing() {
    rates.recordAndCheckExcess(team(2), 0);
    for (int i = 0; i < 10; i++) {
      assertThat(rates.isExcess(team(2), 0), is(false));
    }
    rates.recordAndCheckExcess(team(2), 0);
    assertThat(rates.isExcess(team(2), 0), is(true));
    assertThat(rates.isExcess(team(2), SECOND), is(false));
    assertThat(rates.isUsedUp(team(2)), is(true));
    rates.recordAndCheckExcess(team(2), SECOND);
    assertThat(rates.isUsedUp(team(2)), is(false));
  }
}
