package org.flamingochute.scheduling.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.Team;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against two failures: jobs that cannot end in time are accepted, and jobs are refused
 * although they are within their team's rate or the load is not known.
 */
class JobAdmissionTest {
  private static final JobId JOB = new JobId("0123456789abcdef");
  private static final String POOL = "p";

  /** Time of the steady clock; the wall clock of a test starts at 0. */
  private static final long NOW = 100_000;

  /** With a slack factor of 2, objective of the job of {@link #job}, in milliseconds. */
  private static final long OBJECTIVE = 4_000;

  private static final long ESTIMATE = 1_000;
  private static final long LONG_WAIT = 3 * OBJECTIVE;

  private final JobAdmission admission = new JobAdmission();

  private static Optional<Team> team(double weight) {
    return Optional.of(new Team(new TeamId("t"), Set.of(), weight, ResourceVector.ZERO));
  }

  private static QueuedJob.Builder job() {
    return QueuedJob.newBuilder()
        .setPolicy(
            QueuePolicy.newBuilder()
                .setService(POOL)
                .setSlackFactor(2)
                .setObjectiveMilliseconds(OBJECTIVE - 2 * ESTIMATE))
        .addSteps(QueuedStep.newBuilder().setCount(13).setEstimateMilliseconds(ESTIMATE));
  }

  private void readLoad(String pool, long wait) {
    admission.onLoadRead(FleetLoad.newBuilder().putWaitMilliseconds(pool, wait).build(), NOW);
  }

  /** Uses up the rate of a team at the wall-clock time 0. */
  private Optional<Team> hotTeam() {
    Optional<Team> hot = team(1);
    admission.onJobStored(hot, 0, 0);
    return hot;
  }

  private boolean isRefused(QueuedJob job, Optional<Team> team) {
    boolean refused = admission.refusalOf(JOB, job, team, NOW, 0).isPresent();
    assertThat("a refused job was read for", admission.mayRefuse(JOB, job, team, NOW), is(refused));
    return refused;
  }

  /**
   * A team with a rate of 10 jobs a second submits a multiple of it for the 4.5 s of a pool's peak.
   * Every node reads the accepted jobs; here one node receives all of them.
   */
  @ParameterizedTest(name = "{0} times the rate, wait {1} ms: {2} of {3} accepted")
  @CsvSource({
    "1, 60000, 45, 45",
    "4, 60000, 55, 180",
    "7, 60000, 55, 315",
    "7, 1000, 315, 315",
    "7, 0, 315, 315",
  })
  void hotTeamAtPeakGetsItsRateWhileItsPoolIsOverloaded(
      int multiple, long wait, int maximumAccepted, int submitted) {
    Optional<Team> team = team(10);
    readLoad(POOL, wait);
    int accepted = 0;
    for (int i = 0; i < submitted; i++) {
      long time = i * 100L / multiple;
      if (admission.refusalOf(JOB, job().build(), team, NOW, time).isEmpty()) {
        admission.onJobStored(team, time, time);
        accepted++;
      }
    }
    // The burst capacity of one second comes on top of the rate.
    assertThat(accepted, is(lessThanOrEqualTo(maximumAccepted)));
    assertThat(accepted, is(greaterThanOrEqualTo(Math.min(submitted, 45))));
  }

  /** Without learned durations at the node, wait and estimates alone say that a job is late. */
  @ParameterizedTest
  @CsvSource({"10999, false", "11000, false", "11001, true", "60000, true", "0, false"})
  void jobIsRefusedOnlyIfItCannotEndWithinThreeObjectives(long wait, boolean expected) {
    readLoad(POOL, wait);
    assertThat(isRefused(job().build(), hotTeam()), is(expected));
  }

  @ParameterizedTest
  @CsvSource({"0, true", "1500, true", "1501, false", "60000, false"})
  void staleLoadRefusesNothing(long age, boolean expected) {
    readLoad(POOL, LONG_WAIT);
    Optional<Team> team = hotTeam();
    boolean refused = admission.refusalOf(JOB, job().build(), team, NOW + age, 0).isPresent();
    assertThat(refused, is(expected));
  }

  @Test
  void missingLoadRefusesNothing() {
    assertThat(isRefused(job().build(), hotTeam()), is(false));
  }

  /** The leader is away, or a successor has not written a load. */
  @Test
  void forgottenLoadRefusesNothing() {
    readLoad(POOL, LONG_WAIT);
    admission.forgetLoad();
    assertThat(isRefused(job().build(), hotTeam()), is(false));
  }

  @Test
  void loadOfAnotherPoolRefusesNothing() {
    readLoad("other", LONG_WAIT);
    assertThat(isRefused(job().build(), hotTeam()), is(false));
  }

  /** Jobs that are never refused, for all loads and rates. */
  enum ProtectedJob {
    REPEATED,
    LONG_RUNNING,
    FILLER,
    WITHOUT_OBJECTIVE;

    QueuedJob build() {
      QueuedJob.Builder job = job();
      return switch (this) {
        case REPEATED -> job.setRepetitions(3).build();
        case LONG_RUNNING -> job.addSteps(QueuedStep.newBuilder().setLongRunning(true)).build();
        case FILLER -> job.addSteps(QueuedStep.newBuilder().setFiller(true)).build();
        case WITHOUT_OBJECTIVE -> job.setPolicy(QueuePolicy.newBuilder().setService(POOL)).build();
      };
    }
  }

  @ParameterizedTest
  @EnumSource(ProtectedJob.class)
  void protectedJobIsNeverRefused(ProtectedJob protectedJob) {
    readLoad(POOL, LONG_WAIT);
    assertThat(isRefused(protectedJob.build(), hotTeam()), is(false));
  }

  /** Wrong or malicious estimates must not turn the comparison around. */
  @ParameterizedTest
  @ValueSource(longs = {Long.MAX_VALUE, Long.MAX_VALUE / 2, Long.MIN_VALUE, -1})
  void extremeEstimateIsNotRefused(long estimate) {
    readLoad(POOL, 1_000);
    QueuedJob job =
        job().setSteps(0, QueuedStep.newBuilder().setEstimateMilliseconds(estimate)).build();
    assertThat(isRefused(job, hotTeam()), is(false));
  }

  /** The queue has no key, or the team no weight. */
  @Test
  void jobOfTeamWithoutRateIsNeverRefused() {
    readLoad(POOL, LONG_WAIT);
    for (int i = 0; i < 100; i++) {
      admission.onJobStored(team(0), 0, 0);
      admission.onJobStored(Optional.empty(), 0, 0);
    }
    assertThat(isRefused(job().build(), team(0)), is(false));
    assertThat(isRefused(job().build(), Optional.empty()), is(false));
  }

  /** After the start of a node, and while other teams use up their rates. */
  @Test
  void firstJobsOfTeamAreAccepted() {
    readLoad(POOL, LONG_WAIT);
    hotTeam();
    Optional<Team> other =
        Optional.of(new Team(new TeamId("other"), Set.of(), 1, ResourceVector.ZERO));
    assertThat(isRefused(job().build(), other), is(false));
  }

  /**
   * A backlog that is read after an outage of the store, or jobs from a node whose clock is ahead,
   * must not use up the present rate. The team may submit a job every 2 s.
   */
  @ParameterizedTest
  @CsvSource({"0, 1001, false", "0, 1000, true", "60000, 0, true"})
  void onlyRecentJobsAreCounted(long acceptedAt, long readAt, boolean expected) {
    Optional<Team> team = team(0.5);
    admission.onJobStored(team, acceptedAt, readAt);
    readLoad(POOL, LONG_WAIT);
    assertThat(
        admission.refusalOf(JOB, job().build(), team, NOW, readAt).isPresent(), is(expected));
    assertThat(
        admission.refusalOf(JOB, job().build(), team, NOW, readAt + 2_000).isPresent(), is(false));
  }

  /** Callers that are refused together must not return together. */
  @ParameterizedTest
  @CsvSource({"1000, 1, 2", "2000, 2, 4", "2500, 3, 5", "60000, 3, 5", "1, 1, 1"})
  void retriesAreSpread(long wait, long lowest, long highest) {
    Map<Long, Integer> counts = new TreeMap<>();
    for (int i = 0; i < 1_000; i++) {
      long seconds = JobRefusal.retryAfterSeconds(new JobId("%016x".formatted(i)), wait);
      counts.merge(seconds, 1, Integer::sum);
      assertThat(seconds, is(allOf(greaterThanOrEqualTo(lowest), lessThanOrEqualTo(highest))));
    }
    if (wait >= 2_000) {
      assertThat(counts.toString(), counts.size(), is(greaterThan(1)));
      counts.values().forEach(count -> assertThat(counts.toString(), count, is(lessThan(700))));
    }
  }

  @Test
  void refusalNamesItsData() {
    readLoad(POOL, LONG_WAIT);
    JobRefusal refusal =
        admission.refusalOf(JOB, job().build(), hotTeam(), NOW + 200, 0).orElseThrow();
    assertThat(
        refusal,
        is(new JobRefusal(LONG_WAIT, 200, ESTIMATE, OBJECTIVE, refusal.retryAfterSeconds())));
  }
}
