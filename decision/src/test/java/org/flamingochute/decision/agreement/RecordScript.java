package org.flamingochute.decision.agreement;

import java.util.List;
import org.flamingochute.decision.fleet.FleetFixture;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.AttemptResult;
import org.flamingochute.schema.HoldingsStated;
import org.flamingochute.schema.InstanceObserved;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.Outcome;
import org.flamingochute.schema.StopPurpose;
import org.flamingochute.schema.StopStep;

/**
 * Appends records to a log from a short text, so that tables of test cases stay readable.
 *
 * <p>Example: {@code "submit j1; place prints a 0; start j1 1 w1 a 1; end j1 1 w1 FAILED"}. The
 * first word of each part is the kind of record: {@code place} claims a pool for a member, {@code
 * see} records an observation of an instance, and {@code state} states that a member holds no
 * tokens.
 */
final class RecordScript {

  final LogFixture log = LogFixture.withFleet();

  RecordScript() {
    for (int i = 1; i <= 6; i++) {
      String rack = i <= 4 ? "rack-1" : "rack-2";
      log.append(LogFixture.observe(LogFixture.instance("w" + i, "prints", rack)));
      log.append(LogFixture.observe(LogFixture.instance("q" + i, "quotes", rack)));
    }
    log.append(LogFixture.observe(LogFixture.instance("s1", "spare", "rack-3")));
    run("state a; state b");
  }

  /** Appends the records of the text; returns the result of the last one. */
  ApplyResult run(String text) {
    ApplyResult result = ApplyResults.accepted();
    for (String line : text.split(";")) {
      result = runRecord(line.strip().split(" +"));
    }
    return result;
  }

  private ApplyResult runRecord(String[] words) {
    return switch (words[0]) {
      case "wait" -> advance(Long.parseLong(words[1]));
      case "set" -> log.patch(FleetFixture.set(words[1], words[2], words[3], words[4]));
      case "remove" -> log.patch(FleetFixture.remove(words[1], words[2], ""));
      default -> log.append(record(words));
    };
  }

  private ApplyResult advance(long milliseconds) {
    log.advance(milliseconds);
    return log.append(LogFixture.tick());
  }

  private LogRecord.Builder record(String[] words) {
    return switch (words[0]) {
      case "join" -> LogFixture.join(words[1]);
      case "leave" -> LogFixture.leave(words[1]);
      case "gone" -> LogFixture.gone(words[1]);
      case "state" -> state(words[1]);
      case "claim" -> LogFixture.claim("shop", words[1], words[2], words[3]);
      case "settle" -> LogFixture.settle("shop", words[1], words[2], outcome(words[3]));
      case "submit" -> LogFixture.submit(LogFixture.job(words[1], true));
      case "submit-once" -> LogFixture.submit(LogFixture.job(words[1], false));
      case "submit-key" ->
          LogFixture.submit(LogFixture.job(words[1], false).setIdempotencyKey(words[2]));
      case "submit-to" -> LogFixture.submit(LogFixture.job(words[1], true).setPool(words[2]));
      case "submit-for" -> LogFixture.submit(LogFixture.job(words[1], true).setTeam(words[2]));
      case "cancel" -> LogFixture.cancel(words[1], words[2]);
      case "place" -> LogFixture.placer(words[1], words[2], Long.parseLong(words[3]));
      case "start" ->
          log.start(words[1], Integer.parseInt(words[2]), words[3], words[4], number(words[5]));
      case "end" -> LogFixture.end(words[1], Integer.parseInt(words[2]), words[3], end(words[4]));
      case "see" -> LogFixture.observe(observation(words));
      case "stop" ->
          LogFixture.stop(
              LogFixture.stopRequest(words[1], words[2], words[3], StopPurpose.STOP_FOR_REBOOT));
      case "stop-wave" ->
          LogFixture.stop(
              LogFixture.stopRequest(words[1], words[2], words[3], StopPurpose.STOP_FOR_REBOOT)
                  .setWave(words[4]));
      case "stop-move" ->
          LogFixture.stop(
              LogFixture.stopRequest(words[1], words[2], words[3], StopPurpose.STOP_FOR_MOVE)
                  .setTargetPool(words[4]));
      case "stop-retire" ->
          LogFixture.stop(
              LogFixture.stopRequest(
                  words[1], words[2], words[3], StopPurpose.STOP_FOR_RETIREMENT));
      case "step" -> LogFixture.step(words[1], words[2], StopStep.valueOf("STOP_" + words[3]));
      case "move" -> LogFixture.move(words[1], words[2], words[3], words[4]);
      default -> throw new IllegalArgumentException(String.join(" ", words));
    };
  }

  private static long number(String text) {
    return Long.parseLong(text);
  }

  private static Outcome outcome(String text) {
    return Outcome.valueOf("OUTCOME_" + text);
  }

  private static AttemptResult end(String text) {
    return AttemptResult.valueOf("ATTEMPT_" + text);
  }

  private static InstanceObserved.Builder observation(String[] words) {
    boolean isRunner = words[1].startsWith("q");
    return LogFixture.instance(words[1], isRunner ? "quotes" : "prints", "rack-1")
        .setState(InstanceState.valueOf("INSTANCE_" + words[2]))
        .setAsOfMilliseconds(Long.parseLong(words[3]));
  }

  private LogRecord.Builder state(String member) {
    HoldingsStated.Builder statement = HoldingsStated.newBuilder().setIncarnation(member);
    for (String team : List.of("club", "shop")) {
      log.state
          .escrow(new TeamId(team))
          .ifPresent(
              escrow -> statement.addHoldingsBuilder().setTeam(team).setEpoch(escrow.getEpoch()));
    }
    return LogFixture.statement(statement.build());
  }
}
