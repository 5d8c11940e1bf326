package org.flamingochute.decision.escrow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.flamingochute.decision.agreement.FoldResult;
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
 * Drives members with their ledgers over one log: transfers are lost, repeated and reordered,
 * members die, freeze, are cut off and leave, caps go up and down, and jobs come and go.
 *
 * <p>The judge counts what runs from the requests and the log alone, not from the ledgers. At each
 * start no more may run than the largest cap from the starter's place in the log to its end; so
 * after a lowered cap nothing starts at a member that knows it while more is running.
 */
final class EscrowSimulation {

  private static final List<TeamId> TEAMS = List.of(new TeamId("shop"), new TeamId("club"));
  private static final PoolId POOL = new PoolId("prints");
  private static final long MAXIMUM_REQUEST_MILLISECONDS = 30_000;
  private static final long FRESHNESS_MILLISECONDS = 5_000;
  private static final int LARGEST_CAP = 14;
  private static final int LONG_FOLD = 1_000_000;

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

  private FoldResult append(LogRecord.Builder record) {
    return appendChecked(record.setRecordId("driver-" + nextId++).build());
  }

  private FoldResult appendChecked(LogRecord record) {
    FoldResult result = log.append(record, now);
    if (record.hasJobAttemptStarted() && result instanceof FoldResult.Accepted) {
      jobStarts++;
      checkCap(team(record.getJobAttemptStarted().getJob()), log.lastOffset());
    }
    return result;
  }

  private TeamId team(String job) {
    return new TeamId(log.head.job(new JobId(job)).get().getSubmitted().getTeam());
  }

  private SimulatedMember addMember() {
    SimulatedMember member = new SimulatedMember("m" + nextMember++);
    catchUp(member);
    members.add(member);
    return member;
  }

  /** Brings a process to the end of the log, by all its records or by an image. */
  private void catchUp(SimulatedMember member) {
    if (random.nextBoolean()) {
      member.state.replaceBy(log.head.image());
    }
    member.follow(log, LONG_FOLD, now);
  }

  private void checkCap(TeamId team, long fromOffset) {
    long running = jobsRunning(team);
    for (SimulatedMember member : members) {
      running += member.running(team);
    }
    assertThat(running, lessThanOrEqualTo((long) log.largestCap(team, fromOffset)));
  }

  private long jobsRunning(TeamId team) {
    return log.head.jobs(POOL, JobPhase.JOB_RUNNING).stream()
        .filter(job -> job.getSubmitted().getTeam().equals(team.value()))
        .count();
  }

  /** Makes a number of random steps. */
  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      now += random.nextInt(300) == 0 ? 20_000 : random.nextInt(100);
      members.forEach(member -> member.endExpired(now));
      members.removeIf(this::isForgotten);
      step();
    }
  }

  private boolean isForgotten(SimulatedMember member) {
    boolean isGone = member.dead && !log.head.isMember(member.incarnation);
    return isGone && member.requests.isEmpty();
  }

  private void step() {
    SimulatedMember member = members.get(random.nextInt(members.size()));
    int choice = random.nextInt(1000);
    if (choice < 5) {
      changeCap();
    } else if (choice < 7) {
      loseMember(member);
    } else if (choice < 11) {
      member.frozen = !member.dead;
    } else if (choice < 40) {
      thaw(member);
    } else if (choice < 60) {
      replaceMembers();
    } else if (choice < 90) {
      submitJob();
    } else if (choice < 130) {
      endJob();
    } else if (choice < 150) {
      append(LogFixture.tick());
    } else if (member.isActive()) {
      act(member);
    } else if (member.dead && random.nextInt(20) == 0) {
      append(LogFixture.gone(member.incarnation.value()));
    }
  }

  private void act(SimulatedMember member) {
    switch (random.nextInt(10)) {
      case 0, 1 -> member.follow(log, 1 + random.nextInt(30), now);
      case 2 -> flush(member);
      case 3, 4, 5 -> start(member);
      case 6 -> end(member);
      case 7 -> transfer(member);
      case 8 -> attempt(member);
      default -> network.deliver();
    }
  }

  private void flush(SimulatedMember member) {
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
    if (!isFresh || !member.ledger.tryTake(team)) {
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
      member.ledger.giveBack(member.requests.remove(index).team());
    }
  }

  private void attempt(SimulatedMember member) {
    if (now - member.freshMilliseconds <= FRESHNESS_MILLISECONDS) {
      member.tryAttempt("w" + (1 + random.nextInt(4)));
    }
    boolean hasPlacer =
        log.head
            .placer(POOL)
            .filter(placer -> log.head.isMember(new Incarnation(placer.getIncarnation())))
            .isPresent();
    if (random.nextInt(hasPlacer ? 40 : 2) == 0) {
      long epoch = log.head.placer(POOL).map(placer -> placer.getEpoch()).orElse(0L);
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
    member.ledger.unacknowledged().forEach(again -> network.send(member, again));
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
                    .setBaseVersion(log.head.description().getVersion())
                    .addChanges(
                        FleetFixture.set("team", team.value(), "cap", String.valueOf(cap)))));
  }

  /** Declares a member gone that is dead, frozen, or only cut off from the log from now on. */
  private void loseMember(SimulatedMember member) {
    if (log.head.members().size() < 2) {
      return;
    }
    member.dead = random.nextInt(3) > 0;
    append(LogFixture.gone(member.incarnation.value()));
  }

  private void replaceMembers() {
    long live = members.stream().filter(member -> !member.dead && !member.leaving).count();
    if (live < 4) {
      addMember();
      return;
    }
    SimulatedMember member = members.get(random.nextInt(members.size()));
    if (member.isActive() && random.nextInt(3) == 0) {
      leave(member);
    }
  }

  /** A member that leaves has nothing running and gives everything that it can away. */
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
    flush(member);
    member.dead = true;
  }

  private void thaw(SimulatedMember member) {
    if (member.frozen) {
      member.frozen = false;
      catchUp(member);
    }
  }

  private void submitJob() {
    TeamId team = TEAMS.get(random.nextInt(TEAMS.size()));
    append(LogFixture.submit(LogFixture.job("job-" + nextId, true).setTeam(team.value())));
  }

  private void endJob() {
    Optional<JobImage> running = log.head.jobs(POOL, JobPhase.JOB_RUNNING).stream().findFirst();
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

  /** Lets everything end, loses nothing any more, and checks that every token is back. */
  void settleAndCheck() {
    for (SimulatedMember member : members) {
      boolean isMember = log.head.isMember(member.incarnation);
      if (member.dead && isMember) {
        append(LogFixture.gone(member.incarnation.value()));
      }
      member.frozen = false;
    }
    final SimulatedMember survivor = addMember();
    now += 2 * MAXIMUM_REQUEST_MILLISECONDS;
    members.forEach(member -> member.endExpired(now));
    for (TeamId team : TEAMS) {
      int cap = log.head.description().getTeamsOrThrow(team.value()).getCap();
      patchCap(team, cap == 0 ? 1 : cap - 1);
    }
    for (int round = 0; round < 8; round++) {
      now += MAXIMUM_REQUEST_MILLISECONDS;
      append(LogFixture.tick());
      while (!log.head.jobs(POOL, JobPhase.JOB_RUNNING).isEmpty()) {
        endJob();
      }
      settleRound();
    }
    assertThat(survivor.state.isMember(survivor.incarnation), equalTo(true));
    TEAMS.forEach(this::checkConservation);
  }

  private void settleRound() {
    for (SimulatedMember member : members) {
      if (!member.isActive()) {
        continue;
      }
      member.follow(log, LONG_FOLD, now);
      member.outbox.forEach(this::appendChecked);
      member.outbox.clear();
      member.ledger.unacknowledged().forEach(again -> network.send(member, again));
    }
    network.deliverAll();
  }

  private void checkConservation(TeamId team) {
    long total = jobsRunning(team);
    for (SimulatedMember member : members) {
      if (member.isActive() && log.head.isMember(member.incarnation)) {
        assertThat(member.state.image(), equalTo(log.head.image()));
        total += member.ledger.held(team);
      }
    }
    assertThat(log.head.escrow(team).get().getComplete(), equalTo(true));
    assertThat(
        team + " has all its tokens",
        total,
        equalTo((long) log.head.description().getTeamsOrThrow(team.value()).getCap()));
  }
}
