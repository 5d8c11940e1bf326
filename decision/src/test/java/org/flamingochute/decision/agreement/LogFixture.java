package org.flamingochute.decision.agreement;

import java.util.List;
import org.flamingochute.decision.fleet.FleetDifference;
import org.flamingochute.decision.fleet.FleetFixture;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.AttemptResult;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.HoldingsStated;
import org.flamingochute.schema.IdempotencyClaimed;
import org.flamingochute.schema.IdempotencySettled;
import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.InstanceMoved;
import org.flamingochute.schema.InstanceObserved;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.InstanceStepDone;
import org.flamingochute.schema.InstanceStopRequested;
import org.flamingochute.schema.JobAttemptEnded;
import org.flamingochute.schema.JobAttemptStarted;
import org.flamingochute.schema.JobSubmitted;
import org.flamingochute.schema.JobsCancelled;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.MemberGone;
import org.flamingochute.schema.MemberJoined;
import org.flamingochute.schema.MemberLeft;
import org.flamingochute.schema.Outcome;
import org.flamingochute.schema.PlacerClaimed;
import org.flamingochute.schema.SettingChange;
import org.flamingochute.schema.StopPurpose;
import org.flamingochute.schema.StopStep;
import org.flamingochute.schema.Tick;

/** An in-memory log that applies each record when it is appended, one each millisecond. */
public final class LogFixture {

  /** The state at the end of the log. */
  public final AgreedState state = AgreedState.empty();

  private long nextOffset;
  private long timeMilliseconds = 1_000_000;
  private int nextId;

  /** Returns a log with the description of {@link FleetFixture} and the members a and b. */
  public static LogFixture withFleet() {
    LogFixture log = new LogFixture();
    log.append(join("a"));
    log.append(join("b"));
    log.append(firstPatch());
    return log;
  }

  /** Advances the time. */
  public void advance(long milliseconds) {
    timeMilliseconds += milliseconds;
  }

  /** Returns the time of the next record. */
  public long timeMilliseconds() {
    return timeMilliseconds;
  }

  /** Appends and applies a record; assigns an id if it has none. */
  public ApplyResult append(LogRecord.Builder record) {
    if (record.getRecordId().isEmpty()) {
      record.setRecordId("r" + nextId++);
    }
    return appendBytes(record.setFormatVersion(AgreedState.FORMAT_VERSION).build().toByteArray());
  }

  /** Appends and applies an encoded record. */
  public ApplyResult appendBytes(byte[] record) {
    return state.apply(nextOffset++, timeMilliseconds++, record);
  }

  /** Appends a patch against the current version by the operator ana. */
  public ApplyResult patch(SettingChange... changes) {
    return append(patchAt(state.description().getVersion(), "ana", List.of(changes)));
  }

  /** Returns a patch with a new id. */
  public LogRecord.Builder patchAt(long base, String operator, List<SettingChange> changes) {
    return LogRecord.newBuilder()
        .setPatch(
            FleetPatch.newBuilder()
                .setPatchId("p" + nextId++)
                .setOperatorName(operator)
                .setBaseVersion(base)
                .addAllChanges(changes));
  }

  /** Returns the first patch, which creates the description. */
  public static LogRecord.Builder firstPatch() {
    List<SettingChange> changes =
        FleetDifference.between(FleetDescription.getDefaultInstance(), FleetFixture.description());
    return LogRecord.newBuilder()
        .setPatch(
            FleetPatch.newBuilder()
                .setPatchId("first")
                .setOperatorName("bootstrap")
                .addAllChanges(changes));
  }

  /** Returns the record of a member that joins. */
  public static LogRecord.Builder join(String member) {
    return LogRecord.newBuilder()
        .setMemberJoined(
            MemberJoined.newBuilder().setIncarnation(member).setInstance("entry-" + member));
  }

  /** Returns the record of a member that leaves. */
  public static LogRecord.Builder leave(String member) {
    return LogRecord.newBuilder().setMemberLeft(MemberLeft.newBuilder().setIncarnation(member));
  }

  /** Returns the record that declares a member gone. */
  public static LogRecord.Builder gone(String member) {
    return LogRecord.newBuilder().setMemberGone(MemberGone.newBuilder().setIncarnation(member));
  }

  /** Returns a record that only advances the time. */
  public static LogRecord.Builder tick() {
    return LogRecord.newBuilder().setTick(Tick.getDefaultInstance());
  }

  /** Returns a record with a statement of holdings. */
  public static LogRecord.Builder statement(HoldingsStated statement) {
    return LogRecord.newBuilder().setHoldingsStated(statement);
  }

  /** Returns a claim of an idempotency key. */
  public static LogRecord.Builder claim(String team, String key, String member, String digest) {
    return LogRecord.newBuilder()
        .setIdempotencyClaimed(
            IdempotencyClaimed.newBuilder()
                .setTeam(team)
                .setIdempotencyKey(key)
                .setIncarnation(member)
                .setRequestDigest(digest));
  }

  /** Returns the end of a claim. */
  public static LogRecord.Builder settle(String team, String key, String member, Outcome outcome) {
    return LogRecord.newBuilder()
        .setIdempotencySettled(
            IdempotencySettled.newBuilder()
                .setTeam(team)
                .setIdempotencyKey(key)
                .setIncarnation(member)
                .setOutcome(outcome));
  }

  /** Returns a job of the team shop for the pool prints. */
  public static JobSubmitted.Builder job(String job, boolean idempotent) {
    return JobSubmitted.newBuilder()
        .setJob(job)
        .setTeam("shop")
        .setPool("prints")
        .setIdempotent(idempotent);
  }

  /** Returns a submission. */
  public static LogRecord.Builder submit(JobSubmitted.Builder job) {
    return LogRecord.newBuilder().setJobSubmitted(job);
  }

  /** Returns a cancellation. */
  public static LogRecord.Builder cancel(String team, String... jobs) {
    return LogRecord.newBuilder()
        .setJobsCancelled(JobsCancelled.newBuilder().setTeam(team).addAllJobs(List.of(jobs)));
  }

  /** Returns a claim of a pool. */
  public static LogRecord.Builder placer(String pool, String member, long replacedEpoch) {
    return LogRecord.newBuilder()
        .setPlacerClaimed(
            PlacerClaimed.newBuilder()
                .setPool(pool)
                .setIncarnation(member)
                .setReplacedEpoch(replacedEpoch));
  }

  /** Returns a start of an attempt in the current escrow epoch. */
  public LogRecord.Builder start(
      String job, int attempt, String worker, String member, long epoch) {
    long escrowEpoch = state.escrow(new TeamId("shop")).get().getEpoch();
    return LogRecord.newBuilder()
        .setJobAttemptStarted(
            JobAttemptStarted.newBuilder()
                .setJob(job)
                .setAttempt(attempt)
                .setWorker(worker)
                .setIncarnation(member)
                .setPlacerEpoch(epoch)
                .setEscrowEpoch(escrowEpoch));
  }

  /** Returns the end of an attempt. */
  public static LogRecord.Builder end(
      String job, int attempt, String worker, AttemptResult result) {
    return LogRecord.newBuilder()
        .setJobAttemptEnded(
            JobAttemptEnded.newBuilder()
                .setJob(job)
                .setAttempt(attempt)
                .setWorker(worker)
                .setResult(result));
  }

  /** Returns a live instance. */
  public static InstanceObserved.Builder instance(String name, String pool, String rack) {
    boolean isWorker = pool.equals("prints");
    return InstanceObserved.newBuilder()
        .setInstance(name)
        .setFirstPool(pool)
        .setRack(rack)
        .setDataCentre("north")
        .setKind(isWorker ? InstanceKind.INSTANCE_WORKER : InstanceKind.INSTANCE_RUNNER)
        .setState(InstanceState.INSTANCE_LIVE);
  }

  /** Returns an observation. */
  public static LogRecord.Builder observe(InstanceObserved.Builder observed) {
    return LogRecord.newBuilder().setInstanceObserved(observed);
  }

  /** Returns a request to stop an instance. */
  public static InstanceStopRequested.Builder stopRequest(
      String operation, String instance, String pool, StopPurpose purpose) {
    return InstanceStopRequested.newBuilder()
        .setOperation(operation)
        .setInstance(instance)
        .setPool(pool)
        .setPurpose(purpose);
  }

  /** Returns the record of a stop request. */
  public static LogRecord.Builder stop(InstanceStopRequested.Builder request) {
    return LogRecord.newBuilder().setInstanceStopRequested(request);
  }

  /** Returns a step of a stop. */
  public static LogRecord.Builder step(String operation, String instance, StopStep step) {
    return LogRecord.newBuilder()
        .setInstanceStepDone(
            InstanceStepDone.newBuilder()
                .setOperation(operation)
                .setInstance(instance)
                .setStep(step));
  }

  /** Returns a move between pools. */
  public static LogRecord.Builder move(String operation, String instance, String from, String to) {
    return LogRecord.newBuilder()
        .setInstanceMoved(
            InstanceMoved.newBuilder()
                .setOperation(operation)
                .setInstance(instance)
                .setFromPool(from)
                .setToPool(to));
  }
}
