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
 * What the leadership works with.
 *
 * @param loop event loop of all its work
 * @param clock clocks of the process
 * @param store client of the platform's store
 * @param workerClient client of workers
 * @param machineClient client of the machines service, when there is one
 * @param jobs all jobs of the store
 * @param settings times that the scheduler keeps
 * @param instance name of this instance
 * @param claimDelayMilliseconds delay of claims of the leadership
 */
public record LeadershipParts(
    Eventloop loop,
    NodeClock clock,
    StoreClient store,
    WorkerClient workerClient,
    Optional<MachineClient> machineClient,
    JobTable jobs,
    SchedulerSettings settings,
    String instance,
    long claimDelayMilliseconds) {}
