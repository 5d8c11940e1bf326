package org.flamingochute.experiment.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.agreement.ImageCodec;
import org.flamingochute.decision.escrow.EscrowLedger;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.schema.AgreedStateImage;
import org.flamingochute.schema.Gossip;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.PeerFrame;
import org.flamingochute.schema.TeamUsage;

/**
 * Measures the agreed state, the token ledger and the encoded heartbeat at 10, 50 and 100 % of full
 * size. All times are elapsed times.
 *
 * <p>The measure {@code fold time} is the mean time to apply a record to the agreed state,
 * including its listener, the ledger.
 */
public final class StateCostExperiment implements Experiment {

  private static final int[] SIZE_PERCENTAGES = {10, 50, 100};
  private static final int WORKER_COUNT = 1_400;
  private static final int POOL_COUNT = 96;
  private static final int TEAM_COUNT = 700;
  private static final int JOB_COUNT = 10_000;
  private static final int CLAIM_COUNT = 20_000;
  private static final int PATCH_COUNT = 900;
  private static final int MEMBER_COUNT = 36;
  private static final int LEDGER_SHARD_COUNT = 8;
  private static final int LEDGER_ROUND_COUNT = 20;

  @Override
  public String name() {
    return "state-cost";
  }

  @Override
  public String description() {
    return "Fold time, heap and image size of the agreed state, ledger time and heartbeat size.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> measurements = new ArrayList<>();
    for (int percent : SIZE_PERCENTAGES) {
      measurements.addAll(run(percent));
    }
    return measurements;
  }

  private static List<Measurement> run(int percent) {
    String subject = percent + " %";
    AppliedLog appliedLog = new AppliedLog();
    int poolCount = Math.max(1, POOL_COUNT * percent / 100);
    int teamCount = TEAM_COUNT * percent / 100;
    List<Measurement> measurements = new ArrayList<>();
    final long heapBytesBefore = usedHeapBytes();
    FleetRecords.createDescription(poolCount, teamCount, MEMBER_COUNT).forEach(appliedLog::apply);
    appliedLog.measure(
        measurements,
        subject,
        "instance",
        WORKER_COUNT * percent / 100,
        number -> FleetRecords.createInstance(number, poolCount));
    appliedLog.measure(
        measurements,
        subject,
        "job",
        JOB_COUNT * percent / 100,
        number -> FleetRecords.createJob(number, poolCount, teamCount));
    appliedLog.measure(
        measurements,
        subject,
        "claim",
        CLAIM_COUNT * percent / 100,
        number -> FleetRecords.createClaim(number, teamCount));
    appliedLog.measure(
        measurements,
        subject,
        "patch",
        PATCH_COUNT * percent / 100,
        number -> FleetRecords.createPatch(number + 1));
    double heapBytes = usedHeapBytes() - heapBytesBefore;
    measurements.add(new Measurement(subject, "all", "heap of state", "MB", heapBytes / 1e6));
    measurements.add(
        new Measurement(subject, "all", "records refused", "records", appliedLog.rejectedRecords));
    addImageMeasurements(measurements, subject, appliedLog.state);
    addLedgerMeasurements(measurements, subject, appliedLog, teamCount);
    measurements.add(
        new Measurement(subject, "all", "empty heartbeat", "bytes", encodeHeartbeat(0).length));
    measurements.add(
        new Measurement(
            subject, "all", "full heartbeat", "bytes", encodeHeartbeat(teamCount).length));
    return measurements;
  }

  private static void addImageMeasurements(
      List<Measurement> measurements, String subject, AgreedState state) {
    long startNanoseconds = System.nanoTime();
    AgreedStateImage image = state.image();
    byte[] bytes = ImageCodec.encode(image);
    final double writeMilliseconds = (System.nanoTime() - startNanoseconds) / 1e6;
    startNanoseconds = System.nanoTime();
    AgreedState restored = AgreedState.empty();
    ImageCodec.decode(image.getOffset(), bytes).peek(restored::replaceWith);
    double readMilliseconds = (System.nanoTime() - startNanoseconds) / 1e6;
    measurements.add(new Measurement(subject, "all", "image", "bytes", bytes.length));
    measurements.add(new Measurement(subject, "all", "image write", "ms", writeMilliseconds));
    measurements.add(new Measurement(subject, "all", "image read", "ms", readMilliseconds));
  }

  private static void addLedgerMeasurements(
      List<Measurement> measurements, String subject, AppliedLog appliedLog, int teamCount) {
    EscrowLedger ledger = appliedLog.ledger;
    long startNanoseconds = System.nanoTime();
    int acquiredTokens = 0;
    for (int round = 0; round < LEDGER_ROUND_COUNT; round++) {
      for (int team = 0; team < teamCount; team++) {
        TeamId id = new TeamId("team-" + team);
        if (ledger.tryAcquire(id)) {
          acquiredTokens++;
          ledger.release(id);
        }
      }
    }
    double microseconds =
        (System.nanoTime() - startNanoseconds) / 1e3 / (LEDGER_ROUND_COUNT * teamCount);
    measurements.add(new Measurement(subject, "ledger", "take and give back", "us", microseconds));
    measurements.add(new Measurement(subject, "ledger", "tokens taken", "tokens", acquiredTokens));
  }

  private static byte[] encodeHeartbeat(int teamCount) {
    Gossip.Builder gossip =
        Gossip.newBuilder().setSequence(1).setLogOffset(1_000_000).setFull(true);
    for (int i = 0; i < teamCount; i++) {
      gossip.addTeams(
          TeamUsage.newBuilder()
              .setTeam("team-" + i)
              .setRunning(12)
              .setWaiting(3)
              .setFreeTokens(5)
              .setStartedTotal(100_000));
    }
    return PeerFrame.newBuilder()
        .setSender(FleetRecords.WRITER_INCARNATION)
        .setReceiver("entry-1-start")
        .setGossip(gossip)
        .build()
        .toByteArray();
  }

  private static long usedHeapBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** The agreed state and ledger that result from a log, with the offset of the next record. */
  private static final class AppliedLog {

    private final AgreedState state = AgreedState.empty();
    private final EscrowLedger ledger =
        new EscrowLedger(
            new Incarnation(FleetRecords.WRITER_INCARNATION), LEDGER_SHARD_COUNT, state);
    private long nextOffset;
    private int rejectedRecords;

    private AppliedLog() {
      state.addListener(ledger);
    }

    private void apply(LogRecord record) {
      apply(record.toByteArray());
    }

    private void apply(byte[] record) {
      ApplyResult result = state.apply(nextOffset, 1_000_000 + nextOffset, record);
      nextOffset++;
      rejectedRecords += result instanceof ApplyResult.Accepted ? 0 : 1;
    }

    private void measure(
        List<Measurement> measurements,
        String subject,
        String kind,
        int count,
        IntFunction<LogRecord> recordFactory) {
      List<byte[]> encodedRecords = new ArrayList<>();
      long recordBytes = 0;
      for (int i = 0; i < count; i++) {
        encodedRecords.add(recordFactory.apply(i).toByteArray());
        recordBytes += encodedRecords.getLast().length;
      }
      long startNanoseconds = System.nanoTime();
      for (byte[] record : encodedRecords) {
        apply(record);
      }
      double microseconds = (System.nanoTime() - startNanoseconds) / 1e3 / count;
      measurements.add(new Measurement(subject, kind, "fold time", "us", microseconds));
      measurements.add(
          new Measurement(subject, kind, "record size", "bytes", (double) recordBytes / count));
    }
  }
}
