package org.flamingochute.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.flamingochute.schema.EndpointReport;
import org.flamingochute.schema.JobCount;
import org.flamingochute.schema.RequestCount;

/**
 * Records the work that runners and workers started and completed, for the report.
 *
 * <p>The counts are sharded by tag or job, and each shard has its own lock.
 */
public final class EndpointRecorder {

  private static final int SHARD_COUNT = 16;

  private final List<Shard> shards = new ArrayList<>();
  private final TeamConcurrency concurrency = new TeamConcurrency();
  private final LongAdder refusedCount = new LongAdder();
  private final LongAdder cutByPowerDownCount = new LongAdder();
  private final LongAdder stoppedAtDeadlineCount = new LongAdder();
  private final LongAdder requestCount = new LongAdder();

  private static final class Shard {
    private final Map<String, RequestCount.Builder> requests = new HashMap<>();
    private final Map<String, JobCount.Builder> jobs = new HashMap<>();
  }

  /** Creates an empty recorder. */
  public EndpointRecorder() {
    for (int i = 0; i < SHARD_COUNT; i++) {
      shards.add(new Shard());
    }
  }

  private Shard shardOf(String name) {
    return shards.get(Math.floorMod(name.hashCode(), SHARD_COUNT));
  }

  /** Records that a runner started working on a request. */
  public void recordRequestStart(String tag, String team) {
    requestCount.increment();
    concurrency.recordStart(team);
    Shard shard = shardOf(tag);
    synchronized (shard) {
      RequestCount.Builder count =
          shard.requests.computeIfAbsent(
              tag, name -> RequestCount.newBuilder().setTag(name).setTeam(team));
      count.setBegun(count.getBegun() + 1);
    }
  }

  /**
   * Records that a runner stopped working on a request.
   *
   * @param completed whether the work was completed
   */
  public void recordRequestEnd(String tag, String team, boolean completed) {
    concurrency.recordEnd(team);
    if (!completed) {
      return;
    }
    Shard shard = shardOf(tag);
    synchronized (shard) {
      RequestCount.Builder count = shard.requests.get(tag);
      count.setEnded(count.getEnded() + 1);
    }
  }

  /** Records that a worker started a task of a job. */
  public void recordTaskStart(String job, String tag, String team) {
    concurrency.recordStart(team);
    Shard shard = shardOf(job);
    synchronized (shard) {
      JobCount.Builder count =
          shard.jobs.computeIfAbsent(
              job, name -> JobCount.newBuilder().setJob(name).setTag(tag).setTeam(team));
      count.setBegun(count.getBegun() + 1);
    }
  }

  /** Records that a task of a job ended at a worker. */
  public void recordTaskEnd(String job, String team, boolean succeeded) {
    concurrency.recordEnd(team);
    if (!succeeded) {
      return;
    }
    Shard shard = shardOf(job);
    synchronized (shard) {
      JobCount.Builder count = shard.jobs.get(job);
      count.setSucceeded(count.getSucceeded() + 1);
    }
  }

  /** Records a request that was refused without any work. */
  public void recordRefused() {
    refusedCount.increment();
  }

  /** Records a running or queued request or task that was ended by powering down its instance. */
  public void recordCutByPowerDown() {
    cutByPowerDownCount.increment();
  }

  /** Records a running request that was stopped at its deadline. */
  public void recordStoppedAtDeadline() {
    stoppedAtDeadlineCount.increment();
  }

  /** Returns the current and peak concurrency of the teams. */
  public TeamConcurrency concurrency() {
    return concurrency;
  }

  /**
   * Returns a report of all counts.
   *
   * @param withRequests whether to list each request
   */
  public EndpointReport createReport(boolean withRequests) {
    EndpointReport.Builder report =
        EndpointReport.newBuilder()
            .addAllTeams(concurrency.peaks())
            .setRefused(refusedCount.sum())
            .setCutByPowerDown(cutByPowerDownCount.sum())
            .setStoppedAtDeadline(stoppedAtDeadlineCount.sum())
            .setRequestTotal(requestCount.sum());
    for (Shard shard : shards) {
      synchronized (shard) {
        shard.jobs.values().forEach(job -> report.addJobs(job.build()));
        if (withRequests) {
          shard.requests.values().forEach(request -> report.addRequests(request.build()));
        }
      }
    }
    return report.build();
  }
}
