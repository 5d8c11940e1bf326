package org.flamingochute.control;

import io.vavr.control.Either;
import org.flamingochute.schema.MemberImage;
import org.flamingochute.schema.PoolStatus;
import org.flamingochute.schema.StatusReport;
import org.flamingochute.schema.StopStatus;
import org.flamingochute.schema.TeamStatus;
import org.flamingochute.schema.WaveImage;

/** Shows entries, pools, teams, planned stops and waves as one entry knows them. */
final class StatusCommand implements Command {

  @Override
  public Either<ControlError, String> run(CommandContext context) {
    return context
        .noArgument()
        .flatMap(nothing -> context.client().status())
        .map(status -> context.isJson() ? JsonText.of(status) : textOf(status));
  }

  private static String textOf(StatusReport status) {
    StringBuilder text = new StringBuilder();
    text.append(
        "version %d, offset %d, told by %s (%s)%n"
            .formatted(
                status.getVersion(),
                status.getOffset(),
                status.getEntry(),
                status.getReady() ? "ready" : "not ready"));
    addTable(text, entries(status));
    addTable(text, pools(status));
    addTable(text, teams(status));
    addTable(text, stops(status));
    addTable(text, waves(status));
    return text.toString();
  }

  private static void addTable(StringBuilder text, TextTable table) {
    String lines = table.text();
    if (!lines.isEmpty()) {
      text.append('\n').append(lines);
    }
  }

  private static TextTable entries(StatusReport status) {
    TextTable table = new TextTable("ENTRY", "DATA CENTRE", "ADDRESS", "STATE");
    for (MemberImage member : status.getMembersList()) {
      table.row(
          member.getJoined().getInstance(),
          member.getJoined().getDataCentre(),
          member.getJoined().getHttpAddress(),
          member.getGone() ? "gone" : "member");
    }
    return table;
  }

  private static TextTable pools(StatusReport status) {
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
      table.row(
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

  private static TextTable teams(StatusReport status) {
    TextTable table =
        new TextTable("TEAM", "SHARE", "CAP", "REQUESTS", "JOBS", "WAITING", "FREE TOKENS");
    for (TeamStatus team : status.getTeamsList()) {
      table.row(
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

  private static TextTable stops(StatusReport status) {
    TextTable table = new TextTable("STOP", "INSTANCE", "POOL", "PURPOSE", "STEP", "WAVE");
    for (StopStatus stop : status.getStopsList()) {
      table.row(
          stop.getOperation(),
          stop.getInstance(),
          stop.getPool(),
          stop.getPurpose(),
          stop.getStep(),
          stop.getWave());
    }
    return table;
  }

  private static TextTable waves(StatusReport status) {
    TextTable table = new TextTable("WAVE", "FINISHED", "FAILURES", "STATE");
    for (WaveImage wave : status.getWavesList()) {
      table.row(
          wave.getWave(),
          wave.getFinishedInstancesCount(),
          wave.getConsecutiveFailures(),
          wave.getStopped() ? "stopped: " + wave.getStopReason() : "running");
    }
    return table;
  }
}
