package org.flamingochute.decision.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of one pool of workers, as the input of a placement decision.
 *
 * @param workers the workers to which jobs may be assigned
 * @param waiting the jobs that wait, in order of submission
 * @param running the jobs that run
 * @param teams the teams; jobs of teams that are not listed are not placed
 */
public record PlacementInput(
    List<WorkerCapacity> workers,
    List<WaitingJob> waiting,
    List<RunningJob> running,
    List<TeamQuota> teams) {

  /** Copies the lists. */
  public PlacementInput {
    workers = List.copyOf(workers);
    waiting = List.copyOf(waiting);
    running = List.copyOf(running);
    teams = List.copyOf(teams);
  }

  /** Returns a builder without workers, jobs and teams. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds an input. */
  public static final class Builder {

    private final List<WorkerCapacity> workers = new ArrayList<>();
    private final List<WaitingJob> waiting = new ArrayList<>();
    private final List<RunningJob> running = new ArrayList<>();
    private final List<TeamQuota> teams = new ArrayList<>();

    private Builder() {}

    /** Adds a worker. */
    public Builder worker(WorkerCapacity value) {
      workers.add(value);
      return this;
    }

    /** Adds a waiting job. */
    public Builder waiting(WaitingJob value) {
      waiting.add(value);
      return this;
    }

    /** Adds a running job. */
    public Builder running(RunningJob value) {
      running.add(value);
      return this;
    }

    /** Adds a team. */
    public Builder team(TeamQuota value) {
      teams.add(value);
      return this;
    }

    /** Returns the input. */
    public PlacementInput build() {
      return new PlacementInput(workers, waiting, running, teams);
    }
  }
}
