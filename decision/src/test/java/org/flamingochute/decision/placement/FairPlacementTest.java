package org.flamingochute.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FairPlacementTest {

  private static final TeamId A = new TeamId("a");
  private static final TeamId B = new TeamId("b");
  private static final long NOW = 1_000;

  private final FairPlacement placement = new FairPlacement(FairPlacementSettings.defaults());

  private static WorkerCapacity worker(int number, long cores) {
    return new WorkerCapacity(
        new InstanceId("worker-" + number), new ResourceVector(cores * 1_000, cores * 2_048, 0));
  }

  private static ResourceVector size(long cores) {
    return new ResourceVector(cores * 1_000, cores * 1_024, 0);
  }

  private static WaitingJob.Builder job(String name, TeamId team, long cores) {
    return WaitingJob.builder(new JobId(name), team).declared(size(cores)).idempotent(true);
  }

  private static RunningJob running(String name, TeamId team, int worker, long cores) {
    return new RunningJob(
        new JobId(name),
        team,
        new InstanceId("worker-" + worker),
        size(cores),
        0,
        false,
        true,
        false);
  }

  private static String starts(List<PlacementDecision> decisions) {
    return decisions.stream()
        .filter(PlacementDecision.Start.class::isInstance)
        .map(decision -> ((PlacementDecision.Start) decision).job().value())
        .collect(Collectors.joining(" "));
  }

  @ParameterizedTest
  @CsvSource({"1,1,9,9,a0 b0 a1 b1", "3,1,9,9,a0 b0 a1 a2", "1,1,1,9,a0 b0 b1 b2", "1,1,0,0,''"})
  void dividesByShareUnderCaps(
      int shareA, int shareB, int startableA, int startableB, String expected) {
    PlacementInput.Builder input =
        PlacementInput.builder()
            .worker(worker(0, 4))
            .team(new TeamQuota(A, shareA, startableA))
            .team(new TeamQuota(B, shareB, startableB));
    for (int i = 0; i < 6; i++) {
      input.waiting(job("a" + i, A, 1).build()).waiting(job("b" + i, B, 1).build());
    }
    assertThat(starts(placement.decide(input.build(), NOW)), equalTo(expected));
  }

  @Test
  void ordersWithinTeamByUrgencyThenDeadline() {
    PlacementInput input =
        PlacementInput.builder()
            .worker(worker(0, 3))
            .team(new TeamQuota(A, 1, 9))
            .waiting(job("late", A, 1).deadlineMilliseconds(9_000).build())
            .waiting(job("none", A, 1).build())
            .waiting(job("early", A, 1).deadlineMilliseconds(5_000).build())
            .waiting(job("urgent", A, 1).urgent(true).build())
            .build();
    assertThat(starts(placement.decide(input, NOW)), equalTo("urgent early late"));
  }

  @Test
  void urgentJobPreemptsYoungestJobOfTeamAboveItsShareAndWaitsForItsEnd() {
    PlacementInput.Builder input =
        PlacementInput.builder()
            .worker(worker(0, 4))
            .team(new TeamQuota(A, 1, 9))
            .team(new TeamQuota(B, 1, 9))
            .waiting(job("urgent", B, 1).urgent(true).build());
    for (int i = 0; i < 3; i++) {
      input.running(running("a" + i, A, 0, 1));
    }
    PlacementInput full = input.running(running("a3", A, 0, 1)).build();
    List<PlacementDecision> decisions = placement.decide(full, NOW);
    assertThat(
        decisions,
        contains(
            new PlacementDecision.Preempt(
                new JobId("a0"), new InstanceId("worker-0"), new JobId("urgent"))));
    PlacementInput.Builder stopping =
        PlacementInput.builder()
            .worker(worker(0, 4))
            .team(new TeamQuota(B, 1, 9))
            .waiting(job("urgent", B, 1).urgent(true).build());
    for (int i = 1; i < 4; i++) {
      stopping.running(running("a" + i, A, 0, 1));
    }
    stopping.running(
        new RunningJob(
            new JobId("a0"), A, new InstanceId("worker-0"), size(1), 0, false, true, true));
    assertThat(placement.decide(stopping.build(), NOW), empty());
  }

  @Test
  void keepsCapacityReservedForUrgentJob() {
    TeamQuota teamA = new TeamQuota(A, 1, 9);
    TeamQuota teamB = new TeamQuota(B, 1, 9);
    WaitingJob urgent = job("urgent", B, 2).urgent(true).build();
    WaitingJob other = job("other", A, 1).build();
    RunningJob own = running("own", B, 0, 3);
    RunningJob small = running("small", A, 0, 1);
    PlacementInput full =
        PlacementInput.builder()
            .worker(worker(0, 4))
            .team(teamA)
            .team(teamB)
            .running(own)
            .running(small)
            .waiting(other)
            .waiting(urgent)
            .build();
    assertThat(
        placement.decide(full, NOW),
        contains(
            new PlacementDecision.Preempt(
                new JobId("own"), new InstanceId("worker-0"), new JobId("urgent"))));
    PlacementInput freed =
        PlacementInput.builder()
            .worker(worker(0, 4))
            .team(teamA)
            .team(teamB)
            .running(small)
            .waiting(other)
            .waiting(job("other-2", A, 2).build())
            .waiting(urgent)
            .build();
    assertThat(starts(placement.decide(freed, NOW)), equalTo("urgent other"));
  }

  @Test
  void reservesWorkerForOnlyOneJobThatWaitedLong() {
    PlacementInput input =
        PlacementInput.builder()
            .worker(worker(0, 4))
            .worker(worker(1, 4))
            .team(new TeamQuota(A, 1, 9))
            .team(new TeamQuota(B, 1, 9))
            .running(running("b0", B, 0, 1))
            .running(running("b1", B, 1, 1))
            .waiting(job("large-0", A, 4).build())
            .waiting(job("large-1", A, 4).build())
            .waiting(job("small", B, 1).build())
            .build();
    assertThat(starts(placement.decide(input, 60_000)), equalTo("small"));
  }

  @Test
  void urgentJobDoesNotPreemptNonIdempotentJob() {
    RunningJob nonIdempotent =
        new RunningJob(
            new JobId("a0"), A, new InstanceId("worker-0"), size(4), 0, false, false, false);
    PlacementInput input =
        PlacementInput.builder()
            .worker(worker(0, 4))
            .team(new TeamQuota(A, 1, 9))
            .team(new TeamQuota(B, 1, 9))
            .running(nonIdempotent)
            .waiting(job("urgent", B, 1).urgent(true).build())
            .build();
    assertThat(starts(placement.decide(input, NOW)), equalTo("urgent"));
  }

  @Test
  void parksJobThatFitsNoWorkerOrFailsEverywhere() {
    Set<InstanceId> failed =
        Set.of(new InstanceId("worker-0"), new InstanceId("worker-1"), new InstanceId("worker-2"));
    PlacementInput input =
        PlacementInput.builder()
            .worker(worker(0, 4))
            .team(new TeamQuota(A, 1, 9))
            .waiting(job("huge", A, 5).build())
            .waiting(job("broken", A, 1).failedWorkers(failed).build())
            .build();
    List<PlacementDecision> decisions = placement.decide(input, NOW);
    assertThat(decisions.size(), equalTo(2));
    decisions.forEach(decision -> assertThat(decision, instanceOf(PlacementDecision.Park.class)));
  }

  @Test
  void avoidsWorkerOnWhichJobsKeepFailing() {
    for (int i = 0; i < 3; i++) {
      placement.observeAttemptEnd(new JobId("j" + i), new InstanceId("worker-0"), false, NOW);
      placement.observeAttemptEnd(new JobId("k" + i), new InstanceId("worker-1"), true, NOW);
    }
    PlacementInput input =
        PlacementInput.builder()
            .worker(worker(0, 4))
            .worker(worker(1, 8))
            .team(new TeamQuota(A, 1, 9))
            .waiting(job("next", A, 1).build())
            .build();
    assertThat(
        placement.decide(input, NOW),
        contains(new PlacementDecision.Start(new JobId("next"), new InstanceId("worker-1"))));
  }

  @Test
  void reservesWorkerForLargeJobThatWaitedLong() {
    PlacementInput input =
        PlacementInput.builder()
            .worker(worker(0, 4))
            .team(new TeamQuota(A, 1, 9))
            .team(new TeamQuota(B, 1, 9))
            .running(running("b0", B, 0, 1))
            .waiting(job("large", A, 4).build())
            .waiting(job("small", B, 1).build())
            .build();
    assertThat(starts(placement.decide(input, NOW)), equalTo("small"));
    assertThat(starts(placement.decide(input, 60_000)), equalTo(""));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void neverExceedsMemoryOfWorkerNorCapOfTeam(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    PlacementInput.Builder builder =
        PlacementInput.builder().team(new TeamQuota(A, 2, 5)).team(new TeamQuota(B, 1, 7));
    for (int i = 0; i < 6; i++) {
      builder.worker(worker(i, 4 + random.nextInt(8)));
    }
    for (int i = 0; i < 40; i++) {
      TeamId team = random.nextBoolean() ? A : B;
      builder.waiting(
          job("j" + i, team, 1 + random.nextInt(6)).urgent(random.nextInt(5) == 0).build());
    }
    PlacementInput input = builder.build();
    Map<InstanceId, Long> memory = new HashMap<>();
    Map<TeamId, Integer> started = new HashMap<>();
    for (PlacementDecision decision : placement.decide(input, NOW)) {
      if (decision instanceof PlacementDecision.Start(JobId id, InstanceId worker)) {
        WaitingJob job =
            input.waiting().stream().filter(each -> each.job().equals(id)).findFirst().get();
        memory.merge(worker, job.declared().memoryMebibytes(), Long::sum);
        started.merge(job.team(), 1, Integer::sum);
      }
    }
    for (WorkerCapacity worker : input.workers()) {
      assertThat(
          memory.getOrDefault(worker.worker(), 0L),
          lessThanOrEqualTo(worker.capacity().memoryMebibytes()));
    }
    assertThat(started.getOrDefault(A, 0), lessThanOrEqualTo(5));
    assertThat(started.getOrDefault(B, 0), lessThanOrEqualTo(7));
  }
}
