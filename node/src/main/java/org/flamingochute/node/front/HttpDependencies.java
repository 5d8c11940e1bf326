package org.flamingochute.node.front;

import io.activej.eventloop.Eventloop;
import java.util.Optional;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.LoadShedding;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.NodeMetrics;
import org.flamingochute.node.store.IntakeWriter;

/**
 * Dependencies of the HTTP servers.
 *
 * @param loop event loop of the servers
 * @param clock clocks of the process
 * @param state state read from the store
 * @param intake appends submissions and cancellations
 * @param freshness age of this node's state of the jobs
 * @param metrics counters and latency histograms
 * @param jobLimits limits of the size of a job
 * @param loadShedding refusal of jobs for load, if the settings enable it
 */
public record HttpDependencies(
    Eventloop loop,
    NodeClock clock,
    FleetState state,
    IntakeWriter intake,
    JobFreshness freshness,
    NodeMetrics metrics,
    JobLimits jobLimits,
    Optional<LoadShedding> loadShedding) {}
