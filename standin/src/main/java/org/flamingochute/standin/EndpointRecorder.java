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
 * Records what runners and workers began and ended, for the report.
 *
 * <p>The counts are kept in shards by tag, each under its own lock.
 */
public final class EndpointRecorder {

  private static final int SHARDS = 16;

  private final List<Shard> shards = new ArrayList<>();
  private final TeamConcurrency concurrency = new TeamConcurrency();
  private final LongAdder refused = new LongAdder();
  private final LongAdder cut = new LongAdder();
  private final LongAdder stopped = new LongAdder();
  private final LongAdder requestTotal = new LongAdder();

  private static final class Shard {
    private final Map<String, RequestCount.Builder> requests = new HashMap<>();
    private final Map<String, JobCount.Builder> jobs = new HashMap<>();
  }

  /** Creates an empty recorder. */
  public EndpointRecorder() {
    for (int i = 0; i < SHARDS; i++) {
      shards.add(new Shard());
    }
  }

  private Shard shard(String name) {
    return shards.get(Math.floorMod(name.hashCode(), SHARDS));
  }

  /** Records that a runner began to work on a request. */
  public void requestBegun(String tag, String team) {
    requestTotal.increment();
    concurrency.begin(team);
    Shard shard = shard(tag);
    synchronized (shard) {
      RequestCount.Builder count =
          shard.requests.computeIfAbsent(
              tag, name -> RequestCount.newBuilder().setTag(name).setTeam(team));
      count.setBegun(count.getBegun() + 1);
    }
  }

  /**
   * Records that a runner ended its work on a request.
   *
   * @param whole whether the work was done to its end
   */
  public void requestEnded(String tag, String team, boolean whole) {
    concurrency.end(team);
    if (!whole) {
      return;
    }
    Shard shard = shard(tag);
    synchronized (shard) {
      RequestCount.Builder count = shard.requests.get(tag);
      count.setEnded(count.getEnded() + 1);
    }
  }

  /** Records that a worker began a task of a job. */
  public void taskBegun(String job, String tag, String team) {
    concurrency.begin(team);
    Shard shard = shard(job);
    synchronized (shard) {
      JobCount.Builder count =
          shard.jobs.computeIfAbsent(
              job, name -> JobCount.newBuilder().setJob(name).setTag(tag).setTeam(team));
      count.setBegun(count.getBegun() + 1);
    }
  }

  /** Records that a worker ended a task of a job. */
  public void taskEnded(String job, String team, boolean succeeded) {
    concurrency.end(team);
    if (!succeeded) {
      return;
    }
    Shard shard = shard(job);
    synchronized (shard) {
      JobCount.Builder count = shard.jobs.get(job);
      count.setSucceeded(count.getSucceeded() + 1);
    }
  }

  /** Records a refusal before any work. */
  public void refused() {
    refused.increment();
  }

  /** Records work that was cut off by powering its instance down. */
  public void cutByPowerDown() {
    cut.increment();
  }

  /** Records work that was stopped at its deadline. */
  public void stoppedAtDeadline() {
    stopped.increment();
  }

  /** Returns what each team has running now and had at most. */
  public TeamConcurrency concurrency() {
    return concurrency;
  }

  /**
   * Returns the report.
   *
   * @param withRequests whether each request is listed
   */
  public EndpointReport report(boolean withRequests) {
    EndpointReport.Builder report =
        EndpointReport.newBuilder()
            .addAllTeams(concurrency.peaks())
            .setRefused(refused.sum())
            .setCutByPowerDown(cut.sum())
            .setStoppedAtDeadline(stopped.sum())
            .setRequestTotal(requestTotal.sum());
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
