package org.flamingochute.control;

import io.vavr.control.Either;
import org.flamingochute.schema.MemberImage;
import org.flamingochute.schema.PoolStatus;
import org.flamingochute.schema.StatusReport;
import org.flamingochute.schema.StopStatus;
import org.flamingochute.schema.TeamStatus;
import org.flamingochute.schema.WaveImage;

/** Shows entries, pools, teams, planned stops and waves as seen by one entry. */
final class StatusCommand implements Command {

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .requireNoArgument()
        .flatMap(ignored -> context.client().status())
        .map(status -> context.isJson() ? JsonText.of(status) : format(status));
  }

  private static String format(StatusReport status) {
    StringBuilder text = new StringBuilder();
    text.append(
        "version %d, offset %d, reported by %s (%s)%n"
            .formatted(
                status.getVersion(),
                status.getOffset(),
                status.getEntry(),
                status.getReady() ? "ready" : "not ready"));
    appendTable(text, entriesTable(status));
    appendTable(text, poolsTable(status));
    appendTable(text, teamsTable(status));
    appendTable(text, stopsTable(status));
    appendTable(text, wavesTable(status));
    return text.toString();
  }

  private static void appendTable(StringBuilder text, TextTable table) {
    String lines = table.toText();
    if (!lines.isEmpty()) {
      text.append('\n').append(lines);
    }
  }

  private static TextTable entriesTable(StatusReport status) {
    TextTable table = new TextTable("ENTRY", "DATA CENTRE", "ADDRESS", "STATE");
    for (MemberImage member : status.getMembersList()) {
      table.addRow(
          member.getJoined().getInstance(),
          member.getJoined().getDataCentre(),
          member.getJoined().getHttpAddress(),
          member.getGone() ? "gone" : "member");
    }
    return table;
  }

  private static TextTable poolsTable(StatusReport status) {
    TextTable table =
        new TextTable(
            "POOL",
            "KIND",
            "SIZE",
            "INSTANCES",
            "AVAILABLE",
            "MINIMUM",
            "JOBS WAITING",
            "RUNNING",
            "PARKED");
    for (PoolStatus pool : status.getPoolsList()) {
      table.addRow(
          pool.getPool(),
          pool.getKind(),
          pool.getSize(),
          pool.getInstances(),
          pool.getAvailable(),
          pool.getMinimumAvailable(),
          pool.getJobsWaiting(),
          pool.getJobsRunning(),
          pool.getJobsParked());
    }
    return table;
  }

  private static TextTable teamsTable(StatusReport status) {
    TextTable table =
        new TextTable("TEAM", "SHARE", "CAP", "REQUESTS", "JOBS", "WAITING", "FREE TOKENS");
    for (TeamStatus team : status.getTeamsList()) {
      table.addRow(
          team.getTeam(),
          team.getShare(),
          team.getCap(),
          team.getRunningRequests(),
          team.getRunningJobs(),
          team.getWaiting(),
          team.getFreeTokens());
    }
    return table;
  }

  private static TextTable stopsTable(StatusReport status) {
    TextTable table = new TextTable("STOP", "INSTANCE", "POOL", "PURPOSE", "STEP", "WAVE");
    for (StopStatus stop : status.getStopsList()) {
      table.addRow(
          stop.getOperation(),
          stop.getInstance(),
          stop.getPool(),
          stop.getPurpose(),
          stop.getStep(),
          stop.getWave());
    }
    return table;
  }

  private static TextTable wavesTable(StatusReport status) {
    TextTable table = new TextTable("WAVE", "FINISHED", "FAILURES", "STATE");
    for (WaveImage wave : status.getWavesList()) {
      table.addRow(
          wave.getWave(),
          wave.getFinishedInstancesCount(),
          wave.getConsecutiveFailures(),
          wave.getStopped() ? "stopped: " + wave.getStopReason() : "running");
    }
    return table;
  }
}
