package org.flamingochute.decision.escrow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.agreement.LogFixture;
import org.flamingochute.decision.fleet.FleetFixture;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.AttemptResult;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.LogRecord;

/**
 * Simulates members with their ledgers on one log: transfers are lost, repeated and reordered,
 * members terminate, pause, lose contact with the log and leave, caps are raised and lowered, and
 * jobs start and end.
 *
 * <p>The check counts running work only by the requests and the log, independently of the ledgers.
 * At each start, the number of running requests and jobs must not exceed the largest cap from the
 * last record that the starting member has applied to the end of the log. So after a cap was
 * lowered, a member that has applied this must not start anything while more than the cap is
 * running.
 */
final class EscrowSimulation {

  private static final List<TeamId> TEAMS = List.of(new TeamId("shop"), new TeamId("club"));
  private static final PoolId POOL = new PoolId("prints");
  private static final long MAXIMUM_REQUEST_MILLISECONDS = 30_000;
  private static final long FRESHNESS_MILLISECONDS = 5_000;
  private static final int LARGEST_CAP = 14;
  private static final int ALL_RECORDS = 1_000_000;

  private final UniformRandomProvider random;
  private final SimulatedLog log = new SimulatedLog();
  private final List<SimulatedMember> members = new ArrayList<>();
  private final TransferNetwork network;
  private long now = 1_000_000;
  private int nextMember;
  private int nextId;
  int starts;
  int jobStarts;

  EscrowSimulation(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    network = new TransferNetwork(random, members);
    append(LogFixture.firstPatch());
    for (int i = 1; i <= 4; i++) {
      append(LogFixture.observe(LogFixture.instance("w" + i, "prints", "rack")));
    }
    for (int i = 0; i < 4; i++) {
      addMember();
    }
  }

  private ApplyResult append(LogRecord.Builder record) {
    return appendChecked(record.setRecordId("driver-" + nextId++).build());
  }

  private ApplyResult appendChecked(LogRecord record) {
    ApplyResult result = log.append(record, now);
    if (record.hasJobAttemptStarted() && result instanceof ApplyResult.Accepted) {
      jobStarts++;
      checkCap(team(record.getJobAttemptStarted().getJob()), log.lastOffset());
    }
    return result;
  }

  private TeamId team(String job) {
    return new TeamId(log.latestState.job(new JobId(job)).get().getSubmitted().getTeam());
  }

  private SimulatedMember addMember() {
    SimulatedMember member = new SimulatedMember("m" + nextMember++);
    catchUp(member);
    members.add(member);
    return member;
  }

  /** Brings a member to the end of the log, from an image or by all records. */
  private void catchUp(SimulatedMember member) {
    if (random.nextBoolean()) {
      member.state.replaceWith(log.latestState.image());
    }
    member.applyRecords(log, ALL_RECORDS, now);
  }

  private void checkCap(TeamId team, long fromOffset) {
    long running = jobsRunning(team);
    for (SimulatedMember member : members) {
      running += member.running(team);
    }
    assertThat(running, lessThanOrEqualTo((long) log.largestCap(team, fromOffset)));
  }

  private long jobsRunning(TeamId team) {
    return log.latestState.jobs(POOL, JobPhase.JOB_RUNNING).stream()
        .filter(job -> job.getSubmitted().getTeam().equals(team.value()))
        .count();
  }

  /** Performs a number of random steps. */
  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      now += random.nextInt(300) == 0 ? 20_000 : random.nextInt(100);
      members.forEach(member -> member.endExpired(now));
      members.removeIf(this::isFinished);
      step();
    }
  }

  private boolean isFinished(SimulatedMember member) {
    boolean isGone = member.terminated && !log.latestState.isMember(member.incarnation);
    return isGone && member.requests.isEmpty();
  }

  private void step() {
    SimulatedMember member = members.get(random.nextInt(members.size()));
    int choice = random.nextInt(1000);
    if (choice < 5) {
      changeCap();
    } else if (choice < 7) {
      declareGone(member);
    } else if (choice < 11) {
      member.paused = !member.terminated;
    } else if (choice < 40) {
      resume(member);
    } else if (choice < 60) {
      addOrRemoveMember();
    } else if (choice < 90) {
      submitJob();
    } else if (choice < 130) {
      endJob();
    } else if (choice < 150) {
      append(LogFixture.tick());
    } else if (member.isActive()) {
      performAction(member);
    } else if (member.terminated && random.nextInt(20) == 0) {
      append(LogFixture.gone(member.incarnation.value()));
    }
  }

  private void performAction(SimulatedMember member) {
    switch (random.nextInt(10)) {
      case 0, 1 -> member.applyRecords(log, 1 + random.nextInt(30), now);
      case 2 -> appendOutbox(member);
      case 3, 4, 5 -> start(member);
      case 6 -> end(member);
      case 7 -> transfer(member);
      case 8 -> attempt(member);
      default -> network.deliver();
    }
  }

  private void appendOutbox(SimulatedMember member) {
    for (LogRecord record : List.copyOf(member.outbox)) {
      if (random.nextInt(4) == 0) {
        continue;
      }
      appendChecked(record);
      boolean isReplyLost = random.nextInt(4) == 0;
      if (!isReplyLost) {
        member.outbox.remove(record);
      }
    }
  }

  private void start(SimulatedMember member) {
    boolean isFresh = now - member.freshMilliseconds <= FRESHNESS_MILLISECONDS;
    TeamId team = TEAMS.get(random.nextInt(TEAMS.size()));
    if (!isFresh || !member.ledger.tryAcquire(team)) {
      return;
    }
    starts++;
    long deadline = now + 1 + random.nextInt((int) MAXIMUM_REQUEST_MILLISECONDS);
    member.requests.add(new SimulatedMember.Request(team, deadline));
    checkCap(team, member.state.offset());
  }

  private void end(SimulatedMember member) {
    if (!member.requests.isEmpty()) {
      int index = random.nextInt(member.requests.size());
      member.ledger.release(member.requests.remove(index).team());
    }
  }

  private void attempt(SimulatedMember member) {
    if (now - member.freshMilliseconds <= FRESHNESS_MILLISECONDS) {
      member.tryAttempt("w" + (1 + random.nextInt(4)));
    }
    boolean hasPlacer =
        log.latestState
            .placer(POOL)
            .filter(placer -> log.latestState.isMember(new Incarnation(placer.getIncarnation())))
            .isPresent();
    if (random.nextInt(hasPlacer ? 40 : 2) == 0) {
      long epoch = log.latestState.placer(POOL).map(placer -> placer.getEpoch()).orElse(0L);
      append(LogFixture.placer("prints", member.incarnation.value(), epoch));
    }
  }

  private void transfer(SimulatedMember member) {
    SimulatedMember receiver = members.get(random.nextInt(members.size()));
    TeamId team = TEAMS.get(random.nextInt(TEAMS.size()));
    member
        .ledger
        .debitForTransfer(team, 1 + random.nextInt(4), receiver.incarnation)
        .ifPresent(outgoing -> network.send(member, outgoing));
    member.ledger.unacknowledgedTransfers().forEach(again -> network.send(member, again));
  }

  private void changeCap() {
    TeamId team = TEAMS.get(random.nextInt(TEAMS.size()));
    patchCap(team, random.nextInt(LARGEST_CAP + 1));
  }

  private void patchCap(TeamId team, int cap) {
    append(
        LogRecord.newBuilder()
            .setPatch(
                FleetPatch.newBuilder()
                    .setPatchId("patch-" + nextId)
                    .setOperatorName("ana")
                    .setBaseVersion(log.latestState.description().getVersion())
                    .addChanges(
                        FleetFixture.set("team", team.value(), "cap", String.valueOf(cap)))));
  }

  /** Declares a member gone that is terminated, or still runs without contact to the log. */
  private void declareGone(SimulatedMember member) {
    if (log.latestState.members().size() < 2) {
      return;
    }
    member.terminated = random.nextInt(3) > 0;
    append(LogFixture.gone(member.incarnation.value()));
  }

  private void addOrRemoveMember() {
    long live = members.stream().filter(member -> !member.terminated && !member.leaving).count();
    if (live < 4) {
      addMember();
      return;
    }
    SimulatedMember member = members.get(random.nextInt(members.size()));
    if (member.isActive() && random.nextInt(3) == 0) {
      leave(member);
    }
  }

  /** Lets a member leave after it has ended its requests and transferred its free tokens. */
  private void leave(SimulatedMember member) {
    member.leaving = true;
    while (!member.requests.isEmpty()) {
      end(member);
    }
    SimulatedMember receiver = members.get(random.nextInt(members.size()));
    for (TeamId team : TEAMS) {
      member
          .ledger
          .debitForTransfer(team, LARGEST_CAP, receiver.incarnation)
          .ifPresent(outgoing -> network.send(member, outgoing));
    }
    member.enqueue(LogFixture.leave(member.incarnation.value()));
    appendOutbox(member);
    member.terminated = true;
  }

  private void resume(SimulatedMember member) {
    if (member.paused) {
      member.paused = false;
      catchUp(member);
    }
  }

  private void submitJob() {
    TeamId team = TEAMS.get(random.nextInt(TEAMS.size()));
    append(LogFixture.submit(LogFixture.job("job-" + nextId, true).setTeam(team.value())));
  }

  private void endJob() {
    Optional<JobImage> running =
        log.latestState.jobs(POOL, JobPhase.JOB_RUNNING).stream().findFirst();
    running.ifPresent(
        job ->
            append(
                LogFixture.end(
                    job.getSubmitted().getJob(),
                    job.getAttempts(),
                    job.getWorker(),
                    random.nextBoolean()
                        ? AttemptResult.ATTEMPT_SUCCEEDED
                        : AttemptResult.ATTEMPT_NOT_RUN)));
  }

  /** Ends all work without further faults, and checks that no token is missing. */
  void settleAndCheck() {
    for (SimulatedMember member : members) {
      boolean isMember = log.latestState.isMember(member.incarnation);
      if (member.terminated && isMember) {
        append(LogFixture.gone(member.incarnation.value()));
      }
      member.paused = false;
    }
    final SimulatedMember survivor = addMember();
    now += 2 * MAXIMUM_REQUEST_MILLISECONDS;
    members.forEach(member -> member.endExpired(now));
    for (TeamId team : TEAMS) {
      int cap = log.latestState.description().getTeamsOrThrow(team.value()).getCap();
      patchCap(team, cap == 0 ? 1 : cap - 1);
    }
    for (int round = 0; round < 8; round++) {
      now += MAXIMUM_REQUEST_MILLISECONDS;
      append(LogFixture.tick());
      while (!log.latestState.jobs(POOL, JobPhase.JOB_RUNNING).isEmpty()) {
        endJob();
      }
      settleRound();
    }
    assertThat(survivor.state.isMember(survivor.incarnation), equalTo(true));
    TEAMS.forEach(this::checkTokenConservation);
  }

  private void settleRound() {
    for (SimulatedMember member : members) {
      if (!member.isActive()) {
        continue;
      }
      member.applyRecords(log, ALL_RECORDS, now);
      member.outbox.forEach(this::appendChecked);
      member.outbox.clear();
      member.ledger.unacknowledgedTransfers().forEach(again -> network.send(member, again));
    }
    network.deliverAll();
  }

  private void checkTokenConservation(TeamId team) {
    long total = jobsRunning(team);
    for (SimulatedMember member : members) {
      if (member.isActive() && log.latestState.isMember(member.incarnation)) {
        assertThat(member.state.image(), equalTo(log.latestState.image()));
        total += member.ledger.heldTokens(team);
      }
    }
    assertThat(log.latestState.escrow(team).get().getComplete(), equalTo(true));
    assertThat(
        team + " has all its tokens",
        total,
        equalTo((long) log.latestState.description().getTeamsOrThrow(team.value()).getCap()));
  }
}
