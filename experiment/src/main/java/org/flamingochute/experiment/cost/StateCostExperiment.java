package org.flamingochute.experiment.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.agreement.FoldResult;
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

/** Fold time, memory and image bytes of the agreed state at a tenth, a half and the full size. */
public final class StateCostExperiment implements Experiment {

  private static final int[] PERCENT = {10, 50, 100};
  private static final int WORKERS = 1_400;
  private static final int POOLS = 96;
  private static final int TEAMS = 700;
  private static final int JOBS = 10_000;
  private static final int CLAIMS = 20_000;
  private static final int PATCHES = 900;
  private static final int MEMBERS = 36;
  private static final int LEDGER_SHARDS = 8;
  private static final int LEDGER_ROUNDS = 20;

  @Override
  public String name() {
    return "state-cost";
  }

  @Override
  public String description() {
    return "Fold time, heap and image bytes of the agreed state, ledger time and heartbeat bytes.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> measurements = new ArrayList<>();
    for (int percent : PERCENT) {
      measurements.addAll(run(percent));
    }
    return measurements;
  }

  private static List<Measurement> run(int percent) {
    String subject = percent + " %";
    Log log = new Log();
    int pools = Math.max(1, POOLS * percent / 100);
    int teams = TEAMS * percent / 100;
    List<Measurement> found = new ArrayList<>();
    final long heapBefore = usedHeap();
    FleetRecords.description(pools, teams, MEMBERS).forEach(log::fold);
    log.measure(
        found,
        subject,
        "instance",
        WORKERS * percent / 100,
        number -> FleetRecords.instance(number, pools));
    log.measure(
        found,
        subject,
        "job",
        JOBS * percent / 100,
        number -> FleetRecords.job(number, pools, teams));
    log.measure(
        found,
        subject,
        "claim",
        CLAIMS * percent / 100,
        number -> FleetRecords.claim(number, teams));
    log.measure(
        found, subject, "patch", PATCHES * percent / 100, number -> FleetRecords.patch(number + 1));
    double heap = usedHeap() - heapBefore;
    found.add(new Measurement(subject, "all", "heap of state", "MB", heap / 1e6));
    found.add(new Measurement(subject, "all", "records refused", "records", log.refused));
    addImage(found, subject, log.state);
    addLedger(found, subject, log, teams);
    found.add(new Measurement(subject, "all", "empty heartbeat", "bytes", heartbeat(0).length));
    found.add(new Measurement(subject, "all", "full heartbeat", "bytes", heartbeat(teams).length));
    return found;
  }

  private static void addImage(List<Measurement> found, String subject, AgreedState state) {
    long begin = System.nanoTime();
    AgreedStateImage image = state.image();
    byte[] bytes = ImageCodec.encode(image);
    final double writeMilliseconds = (System.nanoTime() - begin) / 1e6;
    begin = System.nanoTime();
    AgreedState restored = AgreedState.empty();
    ImageCodec.decode(image.getOffset(), bytes).peek(restored::replaceBy);
    double readMilliseconds = (System.nanoTime() - begin) / 1e6;
    found.add(new Measurement(subject, "all", "image", "bytes", bytes.length));
    found.add(new Measurement(subject, "all", "image write", "ms", writeMilliseconds));
    found.add(new Measurement(subject, "all", "image read", "ms", readMilliseconds));
  }

  private static void addLedger(List<Measurement> found, String subject, Log log, int teams) {
    EscrowLedger ledger = log.ledger;
    long begin = System.nanoTime();
    int taken = 0;
    for (int round = 0; round < LEDGER_ROUNDS; round++) {
      for (int team = 0; team < teams; team++) {
        TeamId id = new TeamId("team-" + team);
        if (ledger.tryTake(id)) {
          taken++;
          ledger.giveBack(id);
        }
      }
    }
    double microseconds = (System.nanoTime() - begin) / 1e3 / (LEDGER_ROUNDS * teams);
    found.add(new Measurement(subject, "ledger", "take and give back", "us", microseconds));
    found.add(new Measurement(subject, "ledger", "tokens taken", "tokens", taken));
  }

  private static byte[] heartbeat(int teams) {
    Gossip.Builder gossip =
        Gossip.newBuilder().setSequence(1).setLogOffset(1_000_000).setFull(true);
    for (int i = 0; i < teams; i++) {
      gossip.addTeams(
          TeamUsage.newBuilder()
              .setTeam("team-" + i)
              .setRunning(12)
              .setWaiting(3)
              .setFreeTokens(5)
              .setStartedTotal(100_000));
    }
    return PeerFrame.newBuilder()
        .setSender(FleetRecords.WRITER)
        .setReceiver("entry-1-start")
        .setGossip(gossip)
        .build()
        .toByteArray();
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** A state with the next offset. */
  private static final class Log {

    private final AgreedState state = AgreedState.empty();
    private final EscrowLedger ledger =
        new EscrowLedger(new Incarnation(FleetRecords.WRITER), LEDGER_SHARDS, state);
    private long offset;
    private int refused;

    private Log() {
      state.addListener(ledger);
    }

    private void fold(LogRecord record) {
      fold(record.toByteArray());
    }

    private void fold(byte[] record) {
      FoldResult result = state.apply(offset, 1_000_000 + offset, record);
      offset++;
      refused += result instanceof FoldResult.Accepted ? 0 : 1;
    }

    private void measure(
        List<Measurement> found,
        String subject,
        String kind,
        int count,
        IntFunction<LogRecord> records) {
      List<byte[]> made = new ArrayList<>();
      long recordBytes = 0;
      for (int i = 0; i < count; i++) {
        made.add(records.apply(i).toByteArray());
        recordBytes += made.getLast().length;
      }
      long begin = System.nanoTime();
      for (byte[] record : made) {
        fold(record);
      }
      double microseconds = (System.nanoTime() - begin) / 1e3 / count;
      found.add(new Measurement(subject, kind, "fold time", "us", microseconds));
      found.add(
          new Measurement(subject, kind, "record size", "bytes", (double) recordBytes / count));
    }
  }
}
