package org.flamingochute.node.leadership;

import io.activej.eventloop.Eventloop;
import java.util.Optional;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.wire.MachineClient;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.job.JobTable;

/**
 * Dependencies of the leadership.
 *
 * @param loop event loop on which the leadership runs
 * @param clock clocks of the process
 * @param store client of the platform's store
 * @param workerClient client of workers
 * @param machineClient client of the machines service, if there is one
 * @param jobs all jobs in the store
 * @param settings durations and deadlines of the scheduler
 * @param instance name of this instance
 * @param claimDelayMilliseconds delay of leadership claims
 */
public record LeadershipDependencies(
    Eventloop loop,
    NodeClock clock,
    StoreClient store,
    WorkerClient workerClient,
    Optional<MachineClient> machineClient,
    JobTable jobs,
    SchedulerSettings settings,
    String instance,
    long claimDelayMilliseconds) {}
