package org.flamingochute.experiment.placement;

import java.util.HashSet;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.decision.placement.RunningJob;
import org.flamingochute.decision.placement.WaitingJob;

/** A simulated job: its declared resources, its actual use and its progress. */
final class SimulatedJob {

  final JobId id;
  final TeamId team;
  final ResourceVector declared;
  final ResourceVector used;
  final double runMilliseconds;
  final boolean urgent;
  final boolean alwaysFails;
  final long submittedMilliseconds;
  final Set<InstanceId> failedWorkers = new HashSet<>();
  InstanceId worker;
  long startedMilliseconds = -1;
  boolean stopping;
  int attempt;

  SimulatedJob(
      JobId id,
      TeamId team,
      ResourceVector declared,
      ResourceVector used,
      double runMilliseconds,
      boolean urgent,
      boolean alwaysFails,
      long submittedMilliseconds) {
    this.id = id;
    this.team = team;
    this.declared = declared;
    this.used = used;
    this.runMilliseconds = runMilliseconds;
    this.urgent = urgent;
    this.alwaysFails = alwaysFails;
    this.submittedMilliseconds = submittedMilliseconds;
  }

  WaitingJob toWaitingJob() {
    return WaitingJob.builder(id, team)
        .declared(declared)
        .submittedMilliseconds(submittedMilliseconds)
        .urgent(urgent)
        .idempotent(true)
        .failedWorkers(failedWorkers)
        .build();
  }

  RunningJob toRunningJob() {
    return new RunningJob(id, team, worker, declared, startedMilliseconds, urgent, true, stopping);
  }
}
