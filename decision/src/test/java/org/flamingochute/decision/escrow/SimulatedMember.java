package org.flamingochute.decision.escrow;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.agreement.LogFixture;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.HoldingsStated;
import org.flamingochute.schema.JobAttemptStarted;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.PlacerImage;

/** One process of the simulation: its agreed state, ledger, requests, and records to append. */
final class SimulatedMember {

  private static final PoolId POOL = new PoolId("prints");

  /** A request that holds a token. */
  record Request(TeamId team, long deadlineMilliseconds) {}

  final Incarnation incarnation;
  final AgreedState state = AgreedState.empty();
  final EscrowLedger ledger;
  final List<Request> requests = new ArrayList<>();
  final List<LogRecord> outbox = new ArrayList<>();
  boolean terminated;
  boolean paused;
  boolean leaving;
  long freshMilliseconds;
  private int nextRecord;

  SimulatedMember(String name) {
    this.incarnation = new Incarnation(name);
    this.ledger = new EscrowLedger(incarnation, 3, state);
    state.addListener(ledger);
    enqueue(LogFixture.join(name));
  }

  boolean isActive() {
    return !terminated && !paused;
  }

  void enqueue(LogRecord.Builder record) {
    outbox.add(record.setRecordId(incarnation + "-" + nextRecord++).build());
  }

  /** Applies up to a number of records, and appends a pending statement to the outbox. */
  void applyRecords(SimulatedLog log, int maximumRecords, long nowMilliseconds) {
    for (int i = 0; i < maximumRecords && state.offset() < log.lastOffset(); i++) {
      log.applyNext(state);
    }
    if (state.offset() == log.lastOffset()) {
      freshMilliseconds = nowMilliseconds;
    }
    Optional<HoldingsStated> statement = ledger.pollStatement();
    statement.ifPresent(due -> enqueue(LogFixture.statement(due)));
  }

  /** Starts an attempt of the first waiting job if this member is the placer and has a token. */
  void tryAttempt(String worker) {
    Optional<PlacerImage> placer = state.placer(POOL);
    boolean isPlacer =
        placer.isPresent() && placer.get().getIncarnation().equals(incarnation.value());
    Optional<JobImage> job = state.jobs(POOL, JobPhase.JOB_WAITING).stream().findFirst();
    if (!isPlacer || job.isEmpty()) {
      return;
    }
    TeamId team = new TeamId(job.get().getSubmitted().getTeam());
    OptionalLong escrowEpoch = ledger.debitForAttempt(team);
    if (escrowEpoch.isPresent()) {
      enqueue(
          LogRecord.newBuilder()
              .setJobAttemptStarted(
                  JobAttemptStarted.newBuilder()
                      .setJob(job.get().getSubmitted().getJob())
                      .setAttempt(job.get().getAttempts() + 1)
                      .setWorker(worker)
                      .setIncarnation(incarnation.value())
                      .setPlacerEpoch(placer.get().getEpoch())
                      .setEscrowEpoch(escrowEpoch.getAsLong())));
    }
  }

  /** Ends the requests whose deadline has passed and releases their tokens. */
  void endExpired(long nowMilliseconds) {
    Iterator<Request> iterator = requests.iterator();
    while (iterator.hasNext()) {
      Request request = iterator.next();
      if (request.deadlineMilliseconds() <= nowMilliseconds) {
        iterator.remove();
        ledger.release(request.team());
      }
    }
  }

  long running(TeamId team) {
    return requests.stream().filter(request -> request.team().equals(team)).count();
  }
}
